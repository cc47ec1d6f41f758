import assert from 'node:assert/strict'
import { test } from 'node:test'
import { pickTarget } from '../../src/plan/pickTarget.js'
import { RouteTable } from '../../src/plan/RouteTable.js'
import { createPlan, createRoute } from './createPlan.js'

test('the longest matching prefix of the host name wins', () => {
  const table = new RouteTable(createPlan(1, [
    createRoute({ name: 'all', pathPrefix: '/' }),
    createRoute({ name: 'deep', pathPrefix: '/a/b/' }),
    createRoute({ name: 'shallow', pathPrefix: '/a/' }),
    createRoute({ name: 'other', host: 'other.example', pathPrefix: '/a/b/c/' })
  ]))
  assert.equal(table.find('stock.example', '/a/b/c?x=1')?.name, 'deep')
  assert.equal(table.find('stock.example', '/a/bc')?.name, 'shallow')
  assert.equal(table.find('stock.example', '/z')?.name, 'all')
  assert.equal(table.find('nobody.example', '/a/b/'), undefined)
  assert.equal(table.find('other.example', '/a/b/'), undefined)
})

test('targets get requests in proportion to their weights, and none without a weight', () => {
  const targets = [{ service: 'a', weight: 90 }, { service: 'b', weight: 0 }, { service: 'c', weight: 10 }]
  const counts: Record<string, number> = {}
  for (let randomValue = 0; randomValue < 1; randomValue += 0.001) {
    const service = pickTarget(targets, randomValue)
    counts[service] = (counts[service] ?? 0) + 1
  }
  assert.ok(Math.abs(counts.a! - 900) <= 1)
  assert.equal(counts.b, undefined)
  assert.ok(Math.abs(counts.c! - 100) <= 1)
})
