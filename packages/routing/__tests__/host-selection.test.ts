import {createSeededRandom} from '@lacewingpoint/shared';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {selectNearbyHosts} from '../src/index.js';

const test = suite('selectNearbyHosts');
const createHosts = (count: number, failureDomain: string) => Array.from({length: count}, (_, index) => ({name: `${failureDomain}-${index}`, region: 'r', failureDomain}));

test('a client gets the hosts of its failure domain, and those of the region when there are hardly any', () => {
	const random = createSeededRandom(1);
	const hosts = [...createHosts(3, 'a'), ...createHosts(1, 'b')];
	assert.equal(selectNearbyHosts(hosts, {region: 'r', failureDomain: 'a'}, random).map(host => host.name), ['a-0', 'a-1', 'a-2']);
	assert.is(selectNearbyHosts(hosts, {region: 'r', failureDomain: 'b'}, random).length, 4);
});

test('a client gets at most 64 hosts, and all of them are offered in turn', () => {
	const random = createSeededRandom(4752);
	const offered = new Set<string>();
	for (let lookup = 0; lookup < 100; lookup++) {
		const hosts = selectNearbyHosts(createHosts(150, 'a'), {region: 'r', failureDomain: 'a'}, random);
		assert.is(new Set(hosts).size, 64);
		for (const {name} of hosts) {
			offered.add(name);
		}
	}

	assert.is(offered.size, 150);
});

test.run();
