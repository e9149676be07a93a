/** A measured point. */
export type DataPoint = {readonly x: number; readonly y: number};

/** A straight line fitted to measured points. */
export type LinearFit = {
	readonly name: string;
	/** Unit of y. */
	readonly unit: string;
	/** What x counts. */
	readonly per: string;
	readonly slope: number;
	readonly intercept: number;
	/** Coefficient of determination (R²). */
	readonly fit: number;
	readonly points: readonly DataPoint[];
};

/**
 * Fits a straight line to points by ordinary least squares.
 *
 * @param name - Name of the measured quantity.
 * @param units - Units of the axes.
 * @param units.unit - Unit of y.
 * @param units.per - What x counts.
 * @param points - The measured points.
 * @returns The fitted line.
 */
export function fitLine(name: string, units: {readonly unit: string; readonly per: string}, points: readonly DataPoint[]): LinearFit {
	const meanX = mean(points.map(point => point.x));
	const meanY = mean(points.map(point => point.y));
	let covariance = 0;
	let variance = 0;
	let totalSquares = 0;
	for (const {x, y} of points) {
		covariance += (x - meanX) * (y - meanY);
		variance += (x - meanX) ** 2;
		totalSquares += (y - meanY) ** 2;
	}

	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	let residualSquares = 0;
	for (const {x, y} of points) {
		residualSquares += (y - intercept - (slope * x)) ** 2;
	}

	return {
		name, ...units, slope, intercept, fit: totalSquares === 0 ? 1 : 1 - (residualSquares / totalSquares), points,
	};
}

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
