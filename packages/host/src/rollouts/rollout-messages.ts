import type {FleetLink} from '@lacewingpoint/coordination';
import type {RolloutTable} from '@lacewingpoint/routing';
import type {Milliseconds} from '@lacewingpoint/shared';
import type {HostMessage} from '../members/host-messages.js';

type RolloutReports = NonNullable<HostMessage['rollouts']>;

/** Limits that keep a datagram from being fragmented; what does not fit is sent with the next ones. */
const limits = {rollouts: 4, answers: 16} as const;

/**
 * Describes the running rollouts for a message.
 *
 * @param rollouts - The rollouts as this host knows them.
 * @param target - The peer; only relays get answers, as they sum up those of their members for the decider.
 * @param now - Current monotonic time.
 * @returns The grants and the answers since the last message; `undefined` if no rollout is running.
 */
export function describeRollouts(rollouts: RolloutTable, {kind, host}: FleetLink, now: Milliseconds): RolloutReports | undefined {
	const running = rollouts.takeRunning();
	if (running.length === 0) {
		return undefined;
	}

	const peer = `${host.name} ${host.incarnation}`;
	const reports: RolloutReports = [];
	let freeAnswers = limits.answers;
	for (const {request: {id, service}} of running) {
		if (reports.length === limits.rollouts) {
			break;
		}

		const grant = rollouts.takeGrant(service, peer, now);
		const answers = kind === 'relay' ? rollouts.takeAnswers(service, peer, freeAnswers) : [];
		freeAnswers -= answers.length;
		if (grant !== undefined || answers.length > 0) {
			reports.push({
				service,
				request: id,
				...(grant === undefined ? {} : {grant: [grant.term, grant.number, grant.share, Math.round(grant.age)]}),
				answers: answers.map(({route, side, outcome, count}) => [route, side === 'target', outcome, count]),
			});
		}
	}

	return reports;
}

/**
 * Merges the rollouts of a peer's message.
 *
 * @param rollouts - The rollouts as this host knows them.
 * @param reports - What the peer reports.
 * @param kind - The kind of the peer's link.
 * @param now - Current monotonic time.
 * @returns Whether other peers are to be told of a newer grant or of answers.
 */
export function mergeRollouts(rollouts: RolloutTable, reports: RolloutReports, kind: FleetLink['kind'], now: Milliseconds): boolean {
	let hasNews = false;
	for (const {service, request, grant, answers} of reports) {
		if (grant !== undefined) {
			const [term, number, share, age] = grant;
			hasNews = rollouts.applyGrant(service, {
				requestId: request, term, number, share,
			}, now - Math.max(age, 0)) || hasNews;
		}

		const isMember = kind === 'member';
		rollouts.mergeAnswers(service, request, answers.map(([route, isTarget, outcome, count]) => ({
			route, side: isTarget ? 'target' : 'baseline', outcome, count,
		})), isMember);
		hasNews ||= isMember && answers.length > 0;
	}

	return hasNews;
}
