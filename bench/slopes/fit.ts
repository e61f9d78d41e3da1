/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to points by least squares. */
export interface Fit {
  readonly intercept: number;
  readonly slope: number;
  /** Root mean square error, as a share of the mean of y. */
  readonly residual: number;
  readonly points: readonly Point[];
}

/** Fits a line; requires at least two different values of x. */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanX = mean(points.map(point => point.x));
  const meanY = mean(points.map(point => point.y));
  const covariance = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const variance = sum(points.map(({x}) => (x - meanX) ** 2));
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const squares = points.map(({x, y}) => (y - intercept - slope * x) ** 2);
  const residual = Math.sqrt(sum(squares) / count) / Math.abs(meanY || 1);
  return {intercept, slope, residual, points};
}

/** The mean of the values; 0 if there are none. */
export function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
