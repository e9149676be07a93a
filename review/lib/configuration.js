/**
 * Creates a manifest of a small deployment: one service of model servers and one plain service.
 *
 * @param version - Its version.
 * @returns The manifest as the operator writes it.
 */
export function createManifest(version) {
	const route = (name, fields) => ({
		name, host: 'h.example', prefix: `/${name}/`, priority: 1, noAuth: false, sticky: false, resumable: false, ...fields,
	});
	return {
		version,
		routes: [
			route('guia', {
				kind: 'streaming', service: 'asistente-llm', timeoutMs: 4000, goalMs: 250, gapGoalMs: 200, attempts: 2, resumable: true, sticky: true,
			}),
			route('breve', {
				kind: 'streaming', service: 'asistente-llm', timeoutMs: 10_000, goalMs: 200, gapGoalMs: 200, attempts: 1, sticky: true, priority: 0,
			}),
			route('confirmar', {
				kind: 'non_idempotent', service: 'portal', timeoutMs: 1000, goalMs: 121, attempts: 1,
			}),
			route('cupo', {
				kind: 'idempotent', service: 'portal', timeoutMs: 1000, goalMs: 121, attempts: 2,
			}),
		],
		services: [
			{name: 'portal', healthPath: '/health', maxConns: 110},
			{
				name: 'asistente-llm', healthPath: '/health', maxConns: 250, engine: {
					slots: 32, kvCapacity: 171_052, tokenBytes: 18_432, linkMbps: 88_000, models: [{name: 'm0'}],
				},
			},
		],
		limits: {
			headerBytes: 16_384, bodyBytes: 4_194_304, headerMs: 3000, idleMs: 15_000,
		},
		tenants: [{
			name: 'panaderia', keys: ['key-panaderia'], unit: 'token_count', plainTokens: 200, ratePerS: 0, burst: 0, isolated: false,
		}],
	};
}
