import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Metrics} from '../src/index.js';

const test = suite('Metrics');

test('the increments of one series are added up, and those of other names and labels are not', () => {
	const metrics = new Metrics();
	metrics.incrementCounter('a', {x: '1', y: '"'});
	metrics.incrementCounter('a', {x: '1', y: '"'}, 2);
	metrics.incrementCounter('a', {x: '1'});
	metrics.incrementCounter('a');
	metrics.incrementCounter('ax', {});
	assert.equal(metrics.formatSeries({}).trimEnd().split('\n'), [
		'lacewingpoint_a_total 1', String.raw`lacewingpoint_a_total{x="1",y="\""} 3`, 'lacewingpoint_a_total{x="1"} 1', 'lacewingpoint_ax_total 1',
	]);
});

test('labels that the caller changes later do not change the series', () => {
	const metrics = new Metrics();
	const labels = {route: 'a'};
	metrics.recordDuration('d', 1, labels);
	labels.route = 'b';
	metrics.recordDuration('d', 1, labels);
	assert.match(metrics.formatSeries({}), /d_milliseconds_count\{route="a"\} 1\n(?:.*\n)*.*d_milliseconds_count\{route="b"\} 1/v);
});

test.run();
