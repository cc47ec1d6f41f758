import assert from 'node:assert/strict'
import { test } from 'node:test'
import { diffSheets, formatSheetChange, parseSheet, SheetChangeKind } from '../../src/hibiscusrelay.js'
import { createSheetText } from './createSheetText.js'

test('a sheet has no differences from itself', () => {
  assert.deepEqual(diffSheets(parseSheet(createSheetText()).sheet!, parseSheet(createSheetText()).sheet!), [])
})

test('every record of a first sheet is added', () => {
  const changes = diffSheets(undefined, parseSheet(createSheetText()).sheet!)
  assert.equal(changes.length, 12)
  assert.ok(changes.every((change) => change.kind === SheetChangeKind.Added && change.before === undefined))
})

test('added, removed and changed records are distinguished', () => {
  const changedText = createSheetText(7, 'guests,,,198.51.100.0/24,north,,,,,,').replace(',,7,,', ',,8,,').replace('region-1,,,,open', 'region-1,,,,draining').replace('90,share', '40,share')
  assert.deepEqual(diffSheets(parseSheet(createSheetText()).sheet!, parseSheet(changedText).sheet!).map(formatSheetChange), [
    'changed sheet number: 7 -> 8',
    'changed place north: domain-1 in region-1, open -> domain-1 in region-1, draining',
    'added guests 198.51.100.0/24: north',
    'removed guests 192.0.2.0/24: north',
    'changed placement desk: guests north to north: 90 share -> 40 share'
  ])
})
