/** Ratio of the upper bounds of neighboring buckets. */
const BUCKET_GROWTH = 1.05
/** Runs longer than about 160 s share the last bucket. */
const BUCKET_COUNT = 246
/** Number of runs at which all counts are halved, so that the estimate follows the service. */
const MAXIMUM_RUNS = 512
/** Weight below which an old run no longer counts. */
const MINIMUM_WEIGHT = 0.05
/** Below this number of runs a high percentile rests on one or two of them. */
const MINIMUM_RUNS = 40

/**
 * Durations of recent runs of one kind, in bounded memory. A run that was given up before its end shows only that it takes
 * longer than that, so percentiles are those of the Kaplan-Meier estimate: ignoring such runs, or taking them for ended, would
 * make the slow ones vanish as soon as they are given up in favor of a second attempt.
 */
export class RunTimes {
  readonly #ended = new Float32Array(BUCKET_COUNT)
  readonly #abandoned = new Float32Array(BUCKET_COUNT)
  #count = 0

  /** Whether there are enough runs for percentiles. */
  get isKnown (): boolean {
    return this.#count >= MINIMUM_RUNS
  }

  /** Records a run that ended after a time. */
  recordEnd (milliseconds: number): void {
    this.#record(this.#ended, milliseconds)
  }

  /** Records a run that had not ended when it was given up. */
  recordAbandoned (milliseconds: number): void {
    this.#record(this.#abandoned, milliseconds)
  }

  /**
   * @param fraction - fraction of the runs, between 0 and 1
   * @returns time in milliseconds within which that fraction of the runs ends, or the longest run that ended if fewer of them do;
   * undefined when too few runs are known
   */
  findPercentile (fraction: number): number | undefined {
    if (!this.isKnown) return undefined
    let longest: number | undefined
    for (const { bucket, fractionLeft } of this.#listSurvival()) {
      longest = getUpperBound(bucket)
      if (fractionLeft <= 1 - fraction) return longest
    }
    return longest
  }

  /**
   * @param ageMilliseconds - time for which a run has lasted
   * @returns median of the time until its end, in milliseconds; infinite when less than half of the runs that lasted so long were seen to end
   */
  findMedianRemaining (ageMilliseconds: number): number {
    let fractionAtAge = 1
    for (const { bucket, fractionLeft } of this.#listSurvival()) {
      const upperBound = getUpperBound(bucket)
      if (upperBound <= ageMilliseconds) fractionAtAge = fractionLeft
      else if (fractionLeft <= fractionAtAge / 2) return upperBound - ageMilliseconds
    }
    return Number.POSITIVE_INFINITY
  }

  /** @returns the buckets with ended runs in ascending order, each with the fraction of runs that take longer */
  * #listSurvival (): Generator<{ bucket: number, fractionLeft: number }> {
    let runsLeft = this.#count
    let fractionLeft = 1
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const ended = this.#ended[bucket]!
      if (ended > 0) {
        fractionLeft *= Math.max(0, 1 - ended / runsLeft)
        yield { bucket, fractionLeft }
      }
      runsLeft -= ended + this.#abandoned[bucket]!
    }
  }

  #record (counts: Float32Array, milliseconds: number): void {
    counts[getBucket(milliseconds)]! += 1
    this.#count += 1
    if (this.#count < MAXIMUM_RUNS) return
    this.#count = halve(this.#ended) + halve(this.#abandoned)
  }
}

/** @returns the sum of the counts after they were halved */
function halve (counts: Float32Array): number {
  counts.forEach((count, bucket) => { counts[bucket] = count < 2 * MINIMUM_WEIGHT ? 0 : count / 2 })
  return counts.reduce((sum, count) => sum + count, 0)
}

function getBucket (milliseconds: number): number {
  if (milliseconds <= 1) return 0
  return Math.min(BUCKET_COUNT - 1, Math.floor(Math.log(milliseconds) / Math.log(BUCKET_GROWTH)))
}

function getUpperBound (bucket: number): number {
  return BUCKET_GROWTH ** (bucket + 1)
}
