/** An engine as the controller sees it. */
export type EngineView = {
	readonly server: string;
	/** Nothing when the engine does not answer. */
	readonly weightsVersion: string | undefined;
	readonly adapters: readonly string[];
	readonly isLoading: boolean;
	readonly runningRequests: number;
	/** True while the routers have been told to send it no new work. */
	readonly isDraining: boolean;
	readonly checksFencing: boolean;
};

/** The weights that the tickets in force ask for. */
export type DesiredWeights = {
	readonly model: string;
	readonly version: string;
	readonly adapters: readonly string[];
	readonly loadsAtOnce: number;
};

export type ReconciliationOptions = {
	/** The least share of a model's engines that keep serving while others load. */
	readonly servingShare: number;
	/** Engines that do not check fencing are ordered only after the last holder of the lease must have stopped. */
	readonly mayOrderUnfenced: boolean;
};

/** A step that is due at one engine. */
export type ReconciliationStep = {readonly type: 'drain' | 'order' | 'resume'; readonly server: string};

const isSatisfied = (view: EngineView, desired: DesiredWeights) => view.weightsVersion === desired.version
	&& desired.adapters.every(adapter => view.adapters.includes(adapter));

/**
 * Compares what the tickets ask for with what engines run, and picks the steps that are due: drain, order, resume.
 * Level-triggered, so a lost order is picked again and a superseded one never. No more engines are out of service at once
 * than may load together, nor more than leaves enough of them serving.
 *
 * @param desired - The weights of one model.
 * @param engines - The engines of that model.
 * @param options - Limits.
 * @returns The steps.
 */
export function dueSteps(desired: DesiredWeights, engines: readonly EngineView[], options: ReconciliationOptions): ReconciliationStep[] {
	const answering = engines.filter(view => view.weightsVersion !== undefined);
	const mayOrder = (view: EngineView) => view.checksFencing || options.mayOrderUnfenced;
	const pending = answering.filter(view => !view.isLoading && !isSatisfied(view, desired) && mayOrder(view));
	const busy = answering.filter(view => view.isLoading || view.isDraining).length;
	const leastServing = engines.length > 1 ? Math.ceil(engines.length * options.servingShare) : 0;
	const room = Math.max(Math.min(desired.loadsAtOnce - busy, answering.length - busy - leastServing), 0);
	const drains = pending
		.filter(view => !view.isDraining)
		.toSorted((left, right) => (left.server < right.server ? -1 : 1))
		.slice(0, room);
	const orders = pending.filter(view => view.isDraining && view.runningRequests === 0);
	const resumes = answering.filter(view => view.isDraining && !view.isLoading && isSatisfied(view, desired));
	return [
		...resumes.map(view => ({type: 'resume' as const, server: view.server})),
		...orders.map(view => ({type: 'order' as const, server: view.server})),
		...drains.map(view => ({type: 'drain' as const, server: view.server})),
	];
}
