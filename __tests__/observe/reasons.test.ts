import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { declareCounters } from '../../src/observe/declareCounters.js'
import { RepeatedAnswer } from '../../src/relay/RepeatedAnswer.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { RetryReason } from '../../src/types/RetryReason.js'

const sourceText = readdirSync('src', { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.ts') && !name.includes('types/'))
  .map((name) => readFileSync(join('src', name), 'utf8')).join('\n')

test('every refusal reason, retry reason, outcome and kind of repeated answer has a counter from the start', () => {
  const counters = new Counters()
  declareCounters(counters)
  const names = Object.keys(counters.snapshot())
  for (const reason of Object.values(RefusalReason)) assert.ok(names.includes(`refused.${reason}`), reason)
  for (const reason of Object.values(RetryReason)) assert.ok(names.includes(`retried.${reason}`), reason)
  for (const outcome of Object.values(Outcome)) assert.ok(names.includes(`outcome.${outcome}`), outcome)
  for (const found of Object.values(RepeatedAnswer)) assert.ok(names.includes(`repeated-answer.${found}`), found)
})

test('every refusal and retry reason is used in the source, and the interface page explains every refusal reason', () => {
  const interfacePage = readFileSync('docs/INTERFACES.md', 'utf8')
  for (const [name, reason] of Object.entries(RefusalReason)) {
    assert.ok(sourceText.includes(`RefusalReason.${name}`), name)
    assert.ok(interfacePage.includes(`\`${reason}\``), reason)
  }
  for (const name of Object.keys(RetryReason)) assert.ok(sourceText.includes(`RetryReason.${name}`), name)
})
