/** A measured value `y` at a size `x`. */
export interface MeasuredPoint {
  x: number
  y: number
}

/**
 * @param points - at least two points
 * @returns slope of the least-squares line through the points
 */
export function fitSlope (points: MeasuredPoint[]): number {
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  return covariance / points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
}
