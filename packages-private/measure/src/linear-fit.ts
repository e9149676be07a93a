/** One measured point. */
export type DataPoint = {readonly x: number; readonly y: number};

/** A straight line through measured points. */
export type LinearFit = {
	readonly name: string;
	readonly unit: string;
	readonly per: string;
	readonly slope: number;
	readonly intercept: number;
	/** The share of the variation that the line explains. */
	readonly fit: number;
	readonly points: readonly DataPoint[];
};

/**
 * Fits a straight line by least squares.
 *
 * @param name - What was measured.
 * @param units - The unit of y and what x counts.
 * @param units.unit - The unit of y.
 * @param units.per - What x counts.
 * @param points - The points.
 * @returns The line.
 */
export function fitLine(name: string, units: {readonly unit: string; readonly per: string}, points: readonly DataPoint[]): LinearFit {
	const meanX = mean(points.map(point => point.x));
	const meanY = mean(points.map(point => point.y));
	let covariance = 0;
	let variance = 0;
	let total = 0;
	for (const {x, y} of points) {
		covariance += (x - meanX) * (y - meanY);
		variance += (x - meanX) ** 2;
		total += (y - meanY) ** 2;
	}

	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	let residual = 0;
	for (const {x, y} of points) {
		residual += (y - intercept - (slope * x)) ** 2;
	}

	return {
		name, ...units, slope, intercept, fit: total === 0 ? 1 : 1 - (residual / total), points,
	};
}

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
