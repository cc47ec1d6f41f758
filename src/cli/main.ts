#!/usr/bin/env node
import { defineCommand, runMain } from 'citty'
import { drainCommand } from './drainCommand.js'
import { explainCommand } from './explainCommand.js'
import { loadCommand } from './load/loadCommand.js'
import { replicaCommand } from './replicaCommand.js'
import { sheetCheckCommand, sheetDiffCommand } from './sheetFileCommands.js'
import { sheetHistoryCommand, sheetShowCommand, sheetStatusCommand } from './sheetQueryCommands.js'
import { sheetSubmitCommand } from './sheetSubmitCommand.js'
import { statusCommand } from './statusCommand.js'
import { traceCommand } from './traceCommand.js'

const sheetCommand = defineCommand({
  meta: { name: 'sheet', description: 'Check, compare, submit and show sheets' },
  subCommands: {
    check: sheetCheckCommand,
    diff: sheetDiffCommand,
    submit: sheetSubmitCommand,
    show: sheetShowCommand,
    status: sheetStatusCommand,
    history: sheetHistoryCommand
  }
})

await runMain(defineCommand({
  meta: { name: 'hibiscusrelay', description: 'Command line tool for operators of the hibiscusrelay traffic steering system' },
  subCommands: { status: statusCommand, sheet: sheetCommand, drain: drainCommand, replica: replicaCommand, explain: explainCommand, trace: traceCommand, load: loadCommand }
}))
