import assert from 'node:assert/strict'
import { test } from 'node:test'
import { pickTarget } from '../../src/plan/pickTarget.js'
import { RouteTable } from '../../src/plan/RouteTable.js'
import { planOf, routeOf } from './planOf.js'

test('the longest fitting prefix of the host wins', () => {
  const table = new RouteTable(planOf(1, [
    routeOf({ name: 'all', pathPrefix: '/' }),
    routeOf({ name: 'deep', pathPrefix: '/a/b/' }),
    routeOf({ name: 'shallow', pathPrefix: '/a/' }),
    routeOf({ name: 'other', host: 'other.example', pathPrefix: '/a/b/c/' })
  ]))
  assert.equal(table.find('stock.example', '/a/b/c?x=1')?.name, 'deep')
  assert.equal(table.find('stock.example', '/a/bc')?.name, 'shallow')
  assert.equal(table.find('stock.example', '/z')?.name, 'all')
  assert.equal(table.find('nobody.example', '/a/b/'), undefined)
  assert.equal(table.find('other.example', '/a/b/'), undefined)
})

test('targets get their weights of many requests, and none without weight', () => {
  const targets = [{ service: 'a', weight: 90 }, { service: 'b', weight: 0 }, { service: 'c', weight: 10 }]
  const counts: Record<string, number> = {}
  for (let draw = 0; draw < 1; draw += 0.001) {
    const service = pickTarget(targets, draw)
    counts[service] = (counts[service] ?? 0) + 1
  }
  assert.ok(Math.abs(counts.a! - 900) <= 1)
  assert.equal(counts.b, undefined)
  assert.ok(Math.abs(counts.c! - 100) <= 1)
})
