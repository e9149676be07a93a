import {createServer} from 'node:net';

/**
 * Finds free ports on loopback. All are held open together, so that none is given out twice.
 *
 * @param count - How many.
 * @returns The ports.
 */
export async function freePorts(count: number): Promise<number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => {
		const server = createServer();
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return server;
	}));
	const ports = servers.map(server => (server.address() as {readonly port: number}).port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
