import type { Breach, SoakRecord } from '../SoakRecord.js'
import { checkEnd } from './checkEnd.js'
import { checkEnds } from './checkEnds.js'
import { checkForbidden } from './checkForbidden.js'
import { checkInForce } from './checkInForce.js'
import { checkLeft } from './checkLeft.js'
import { checkLost } from './checkLost.js'
import { checkMemory } from './checkMemory.js'
import { checkNeverOlder } from './checkNeverOlder.js'
import { checkOneWinner } from './checkOneWinner.js'
import { checkOwn } from './checkOwn.js'
import { checkReads } from './checkReads.js'
import { checkResent } from './checkResent.js'
import { checkRuns } from './checkRuns.js'
import { checkServed } from './checkServed.js'
import { checkSound } from './checkSound.js'
import { checkWhole } from './checkWhole.js'
import { PlanHistory } from './PlanHistory.js'

const CHECKS = [checkInForce, checkNeverOlder, checkForbidden, checkOneWinner, checkServed, checkReads, checkEnd, checkResent, checkLeft, checkWhole, checkOwn, checkRuns, checkLost, checkEnds, checkMemory, checkSound]

/** @returns all rules that a run broke, in the order of time */
export function checkRecord (record: SoakRecord): Breach[] {
  const history = new PlanHistory(record)
  return CHECKS.flatMap((check) => check(history)).sort((left, right) => left.at - right.at)
}
