import {createSeededRandom, hashText} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type SimulatedFleetHost, SimulatedFleet} from '../src/index.js';

const test = suite('quarantine of prompt parts over all hosts');

const seed = 29;
const crashingPart = 'bad0';
const popularPart = 'aa';
const rarePart = 'cc';

/** The time after the fifth crash within which the servers must be protected, as the platform promises it. */
const protectionTime = 3000;

const listQuarantining = (hosts: readonly SimulatedFleetHost[], part: string) => hosts.filter(host => host.fleet.promptPartGuard.admit([part]).type === 'quarantined');

for (const [hostCount, domains, lossShare] of [[9, 3, 0], [195, 9, 0], [195, 9, 0.03]] as const) {
	test(`${hostCount} hosts with ${lossShare * 100}% of messages lost quarantine a crashing part in time, and never a part that is executed on other hosts`, async () => {
		const fleet = new SimulatedFleet(seed);
		const random = createSeededRandom(seed);
		fleet.publish(1);
		await fleet.startHosts(hostCount, domains);
		await fleet.run(6000);
		fleet.lossShare = lossShare;
		const hosts = [...fleet.hosts.values()];
		const pickHost = () => hosts[Math.floor(random.next() * hosts.length)]!;
		let fingerprint = 0;
		const crash = (index: number) => {
			const inFlight = [[popularPart, crashingPart], [popularPart, rarePart], [popularPart], [popularPart]];
			for (const parts of index % 2 === 0 ? inFlight : inFlight.toSpliced(1, 1)) {
				const host = pickHost();
				const suspects = [{
					fingerprint: fingerprint++, parts: parts.map(id => hashText(id)), server: `i-${index}`, incarnation: '1', failureDomain: 'a', age: 20,
				}];
				host.fleet.promptPartGuard.recordCrashes(suspects);
				host.fleet.gossip.announceCrashes(suspects);
			}
		};

		const crashInterval = 250;
		for (let time = 0; time < (4 * crashInterval) + protectionTime; time += 10) {
			if (time % crashInterval === 0 && time <= 9 * crashInterval) {
				crash(time / crashInterval);
			}

			if (time % 50 === 0) {
				pickHost().fleet.promptPartGuard.recordExecution([popularPart], fleet.now - 100);
			}

			if (time % 500 === 0) {
				pickHost().fleet.promptPartGuard.recordExecution([popularPart, rarePart], fleet.now - 100);
			}

			await fleet.run(10);
			if (time % 100 === 0) {
				assert.equal(listQuarantining(hosts, popularPart).map(host => host.description.name), [], `${time} ms after the first crash`);
				assert.equal(listQuarantining(hosts, rarePart).map(host => host.description.name), [], `${time} ms after the first crash`);
			}
		}

		assert.is(listQuarantining(hosts, crashingPart).length, hostCount);
	});
}

test.run();
