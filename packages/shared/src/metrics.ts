import {type Histogram, build} from 'hdr-histogram-js';

/** Labels of one counter or histogram. */
export type Labels = Readonly<Record<string, string>>;

const percentiles = [50, 90, 95, 99, 99.9];
const microsecondsPerMillisecond = 1000;
const highestMicroseconds = 600_000_000;

function seriesName(name: string, labels: Labels): string {
	const pairs = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
	return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

/** Counters, gauges and latency histograms, printed in the usual text format. */
export class Metrics {
	readonly #counters = new Map<string, number>();
	readonly #histograms = new Map<string, {readonly name: string; readonly labels: Labels; readonly histogram: Histogram}>();
	readonly #gauges = new Map<string, () => number>();

	/**
	 * Adds to a counter.
	 *
	 * @param name - The counter.
	 * @param labels - Its labels.
	 * @param amount - What to add.
	 */
	incrementCounter(name: string, labels: Labels = {}, amount = 1): void {
		const series = seriesName(`lacewingpoint_${name}_total`, labels);
		this.#counters.set(series, (this.#counters.get(series) ?? 0) + amount);
	}

	/**
	 * Reads a gauge whenever the metrics are printed.
	 *
	 * @param name - The gauge.
	 * @param read - Reads its value.
	 */
	registerGauge(name: string, read: () => number): void {
		this.#gauges.set(`lacewingpoint_${name}`, read);
	}

	/**
	 * Records a duration.
	 *
	 * @param name - The histogram.
	 * @param milliseconds - The duration.
	 * @param labels - Its labels.
	 */
	recordDuration(name: string, milliseconds: number, labels: Labels = {}): void {
		const key = seriesName(name, labels);
		const held = this.#histograms.get(key) ?? {name, labels, histogram: build({highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 2})};
		this.#histograms.set(key, held);
		held.histogram.recordValue(Math.min(Math.max(Math.round(milliseconds * microsecondsPerMillisecond), 1), highestMicroseconds));
	}

	/** @returns All series, one a line. */
	formatSeries(): string {
		const counters = [...this.#counters].map(([series, value]) => `${series} ${value}`);
		const gauges = [...this.#gauges].map(([series, read]) => `${series} ${read()}`);
		const histograms = [...this.#histograms.values()].flatMap(({name, labels, histogram}) => [
			...percentiles.map(percentile => {
				const series = seriesName(`lacewingpoint_${name}_milliseconds`, {...labels, quantile: String(percentile / 100)});
				return `${series} ${histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond}`;
			}),
			`${seriesName(`lacewingpoint_${name}_milliseconds_count`, labels)} ${histogram.totalCount}`,
		]);
		return `${[...counters, ...gauges, ...histograms].toSorted().join('\n')}\n`;
	}
}
