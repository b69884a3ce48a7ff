/** Straight line through measured points, with the share of the variance that it explains. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  readonly rSquared: number;
}

/** Measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/**
 * Least-squares fit.
 *
 * @example
 * fitLine([{ x: 0, y: 1 }, { x: 1, y: 3 }]).slope; // 2
 */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const varianceX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const varianceY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const rSquared =
    varianceX === 0 || varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY);
  return { slope, intercept: meanY - slope * meanX, rSquared };
}
