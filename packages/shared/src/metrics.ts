// The library's index also loads its WebAssembly and log formats, which take a tenth of the processor time of a host's start.
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

/** Names and values of the labels of a time series. */
export type Labels = Readonly<Record<string, string>>;

const percentiles = [50, 90, 95, 99, 99.9];
const {default: Int32Histogram} = histogramModule;
type Histogram = InstanceType<typeof Int32Histogram>;

const significantDigits = 2;
const microsecondsPerMillisecond = 1000;
/** Ten minutes. Longer durations are recorded as this value. */
const maxTrackableMicroseconds = 600_000_000;

const noLabels: Labels = {};

/** Distinguishes the series of one name. Cheaper than the series name, which is only needed for the export. */
function seriesKey(name: string, labels: Labels): string {
	let key = name;
	for (const label in labels) {
		if (Object.hasOwn(labels, label)) {
			key += `\0${label}\0${labels[label]!}`;
		}
	}

	return key;
}

function seriesName(name: string, labels: Labels): string {
	const pairs = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
	return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

/** Registry of counters, gauges and latency histograms, exported in the Prometheus text format. */
export class Metrics {
	readonly #counters = new Map<string, {readonly name: string; readonly labels: Labels; value: number}>();
	readonly #histograms = new Map<string, {readonly name: string; readonly labels: Labels; readonly histogram: Histogram}>();
	readonly #gauges = new Map<string, () => number>();

	/**
	 * Increments a counter.
	 *
	 * @param name - Name of the counter; `lacewingpoint_` is put before it and `_total` after it.
	 * @param labels - Labels of the series.
	 * @param amount - Amount to add.
	 */
	incrementCounter(name: string, labels: Labels = noLabels, amount = 1): void {
		const key = seriesKey(name, labels);
		const counter = this.#counters.get(key);
		if (counter === undefined) {
			this.#counters.set(key, {name, labels: {...labels}, value: amount});
		} else {
			counter.value += amount;
		}
	}

	/**
	 * Registers a gauge, which is read whenever the metrics are formatted.
	 *
	 * @param name - Name of the gauge; `lacewingpoint_` is put before it.
	 * @param read - Returns the current value.
	 */
	registerGauge(name: string, read: () => number): void {
		this.#gauges.set(`lacewingpoint_${name}`, read);
	}

	/**
	 * Records a duration in a histogram.
	 *
	 * @param name - Name of the histogram; `lacewingpoint_` is put before it and `_milliseconds` after it.
	 * @param milliseconds - The duration; recorded as at least a microsecond and at most ten minutes.
	 * @param labels - Labels of the series.
	 */
	recordDuration(name: string, milliseconds: number, labels: Labels = noLabels): void {
		const key = seriesKey(name, labels);
		let entry = this.#histograms.get(key);
		if (entry === undefined) {
			entry = {name, labels: {...labels}, histogram: new Int32Histogram(1, maxTrackableMicroseconds, significantDigits)};
			this.#histograms.set(key, entry);
		}

		entry.histogram.recordValue(Math.min(Math.max(Math.round(milliseconds * microsecondsPerMillisecond), 1), maxTrackableMicroseconds));
	}

	/**
	 * Formats all series.
	 *
	 * @param currentValues - Gauges that are not registered, by name.
	 * @returns One series per line, the registered ones sorted.
	 */
	formatSeries(currentValues: Readonly<Record<string, number>> = {}): string {
		const counters = [...this.#counters.values()].map(({name, labels, value}) => `${seriesName(`lacewingpoint_${name}_total`, labels)} ${value}`);
		const gauges = [...this.#gauges].map(([series, read]) => `${series} ${read()}`);
		const histograms = [...this.#histograms.values()].flatMap(({name, labels, histogram}) => [
			...percentiles.map(percentile => {
				const series = seriesName(`lacewingpoint_${name}_milliseconds`, {...labels, quantile: String(percentile / 100)});
				return `${series} ${histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond}`;
			}),
			`${seriesName(`lacewingpoint_${name}_milliseconds_count`, labels)} ${histogram.totalCount}`,
		]);
		const unregistered = Object.entries(currentValues).map(([name, value]) => `lacewingpoint_${name} ${value}`);
		return `${[...[...counters, ...gauges, ...histograms].toSorted(), ...unregistered].join('\n')}\n`;
	}
}
