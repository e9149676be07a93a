/**
 * Creates a configuration in the platform's format: plain routes and model routes on the host `h.example`, and two workspaces.
 *
 * @param version - Version of the configuration.
 * @param overrides - Top-level fields that replace the defaults.
 * @returns The value to store.
 */
export function createConfiguration(version: number, overrides: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
	const route = (name: string, kind: string, service: string, routeOverrides: Readonly<Record<string, unknown>> = {}) => ({
		name, host: 'h.example', prefix: `/${name}/`, kind, timeoutMs: 3000, goalMs: 400, priority: 1, attempts: 2, noAuth: false, sticky: false, resumable: false, service, ...routeOverrides,
	});
	return {
		version,
		routes: [
			route('look', 'idempotent', 'plain'),
			route('book', 'non_idempotent', 'plain', {attempts: 1}),
			route('check', 'streaming', 'models', {resumable: true}),
			route('chat', 'streaming', 'models', {resumable: true, timeoutMs: 20_000}),
			route('draft', 'streaming', 'models', {attempts: 1}),
			route('long', 'non_idempotent', 'plain', {attempts: 1, timeoutMs: 20_000}),
			route('open', 'idempotent', 'plain', {noAuth: true}),
		],
		services: [
			{name: 'plain', healthPath: '/health', maxConns: 50},
			{
				name: 'models', healthPath: '/health', maxConns: 50, engine: {
					slots: 8, kvCapacity: 100_000, tokenBytes: 18_432, linkMbps: 1000, models: [{name: 'm'}],
				},
			},
		],
		limits: {
			headerBytes: 16_384, bodyBytes: 100_000, headerMs: 3000, idleMs: 5000,
		},
		tenants: [
			{
				name: 'red', keys: ['red-key'], unit: 'token_count', plainTokens: 10, ratePerS: 0, burst: 0, isolated: true,
			},
			{
				name: 'blue', keys: ['blue-key'], unit: 'token_count', plainTokens: 10, ratePerS: 100, burst: 100,
			},
		],
		...overrides,
	};
}
