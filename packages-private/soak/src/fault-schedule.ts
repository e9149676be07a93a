import type {Milliseconds, RandomSource} from '@lacewingpoint/shared';

/** A kind of fault, and what it strikes. */
export type FaultKind
	= | 'host-kill' | 'host-suspend' | 'host-stop' | 'host-reload'
		| 'server-link' | 'store-link' | 'store-refuse' | 'store-forget' | 'store-restore'
		| 'server-break-off' | 'server-leave' | 'server-pause' | 'server-malformed'
		| 'odd-entry' | 'configuration' | 'weights' | 'client-crowd';

/**
 * Which faults are drawn: `mixed` ones of most kinds; `planned` work only, around which nothing may be lost; `malformed` responses and
 * entries, beside planned work; or `clients` that misbehave, beside configurations that change and hosts that are killed.
 */
export type FaultProfile = 'mixed' | 'planned' | 'malformed' | 'clients';

export type ScheduledFault = {
	readonly kind: FaultKind;
	readonly at: Milliseconds;
	readonly duration: Milliseconds;
	/** Selects the host, server or link; the remainder of its division by their number. */
	readonly target: number;
	/** Selects a variant of the fault, likewise. */
	readonly variant: number;
};

const mixedKinds: readonly FaultKind[] = [
	'host-kill',
	'host-suspend',
	'host-stop',
	'host-reload',
	'server-link',
	'store-link',
	'store-refuse',
	'store-forget',
	'store-restore',
	'server-break-off',
	'server-break-off',
	'server-leave',
	'server-pause',
	'configuration',
	'weights',
];

const plannedKinds: readonly FaultKind[] = ['host-stop', 'host-stop', 'host-stop', 'host-reload', 'server-leave', 'configuration', 'weights'];

const kindsByProfile: Readonly<Record<FaultProfile, readonly FaultKind[]>> = {
	mixed: mixedKinds,
	planned: plannedKinds,
	malformed: ['server-malformed', 'server-malformed', 'odd-entry', 'odd-entry', 'server-break-off', ...plannedKinds],
	clients: ['client-crowd', 'client-crowd', 'client-crowd', 'client-crowd', 'configuration', 'host-kill', 'host-reload'],
};

const longestSeries = 3;

const durationRange = {shortest: 200, longest: 2000} as const;

/**
 * Draws faults: series of one kind, which overlap with others.
 *
 * @param random - Source of the random numbers.
 * @param duration - Time in which faults begin.
 * @param seriesCount - Number of series.
 * @param profile - Which faults are drawn.
 * @returns The faults in order of time.
 */
export function createFaultSchedule(random: RandomSource, duration: Milliseconds, seriesCount: number, profile: FaultProfile = 'mixed'): readonly ScheduledFault[] {
	const draw = (bound: number) => Math.floor(random.next() * bound);
	const kinds = kindsByProfile[profile];
	const faults: ScheduledFault[] = [];
	for (let series = 0; series < seriesCount; series++) {
		const kind = kinds[draw(kinds.length)]!;
		const start = random.next() * duration * 0.8;
		const gap = 100 + (random.next() * 1200);
		for (let index = 0; index <= draw(longestSeries); index++) {
			faults.push({
				kind,
				at: Math.min(start + (index * gap), duration),
				duration: durationRange.shortest + (random.next() * (durationRange.longest - durationRange.shortest)),
				target: draw(1000),
				variant: draw(1000),
			});
		}
	}

	return faults.toSorted((left, right) => left.at - right.at);
}
