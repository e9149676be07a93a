/** What a workspace asks for, and the weight of its claim. */
export type ShareClaim = {readonly offered: number; readonly weight: number};

/**
 * Divides capacity among workspaces by weighted max-min fairness: what one does not use is divided among the others. Meant for load in
 * which one workspace sends many times its usual amount.
 *
 * @param claims - The claims by workspace.
 * @param capacity - What can be served, in the unit of `offered`.
 * @returns The share of each workspace; its claim where there is enough for it.
 */
export function divideCapacity(claims: ReadonlyMap<string, ShareClaim>, capacity: number): Map<string, number> {
	const shares = new Map<string, number>();
	let rest = capacity;
	let restWeight = 0;
	for (const {weight} of claims.values()) {
		restWeight += weight;
	}

	// Those that ask for the least by their weight are satisfied first.
	const inOrder = [...claims].toSorted(([, left], [, right]) => (left.offered / left.weight) - (right.offered / right.weight));
	for (const [workspace, {offered, weight}] of inOrder) {
		const share = Math.min(offered, rest * weight / restWeight);
		shares.set(workspace, share);
		rest -= share;
		restWeight -= weight;
	}

	return shares;
}
