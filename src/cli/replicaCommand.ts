import { defineCommand } from 'citty'
import { createOperatorClient } from './OperatorClient.js'
import { operatorArguments, type OperatorArgumentValues } from './operatorArguments.js'

const REFUSED_EXIT_CODE = 1

async function postAndPrint (values: OperatorArgumentValues, path: string): Promise<void> {
  const reply = await createOperatorClient(values).post<object>(path)
  console.log(JSON.stringify(reply.body, null, 2))
  if (reply.status >= 300) process.exit(REFUSED_EXIT_CODE)
}

function encodeQuery (parameters: Record<string, string>): string {
  return new URLSearchParams(parameters).toString()
}

const status = defineCommand({
  meta: { name: 'status', description: 'Show the state of a host\'s replica and of the replica group' },
  args: operatorArguments,
  run: async ({ args }) => { console.log(JSON.stringify((await createOperatorClient(args).get<object>('/v1/replica')).body, null, 2)) }
})

const bootstrap = defineCommand({
  meta: { name: 'bootstrap', description: 'Form the replica group from the empty replicas that the settings name; safe to repeat' },
  args: operatorArguments,
  run: async ({ args }) => { await postAndPrint(args, '/v1/replica/bootstrap') }
})

const replace = defineCommand({
  meta: { name: 'replace', description: 'Replace a lost replica by the empty replica at an address' },
  args: {
    ...operatorArguments,
    lost: { type: 'string', description: 'Identity of the lost replica', required: true },
    address: { type: 'string', description: 'Peer address of the new replica', required: true }
  },
  run: async ({ args }) => { await postAndPrint(args, `/v1/replica/replace?${encodeQuery({ lost: args.lost, address: args.address })}`) }
})

const remove = defineCommand({
  meta: { name: 'remove', description: 'Remove a replica permanently' },
  args: { ...operatorArguments, identity: { type: 'string', description: 'Identity of the replica', required: true } },
  run: async ({ args }) => { await postAndPrint(args, `/v1/replica/remove?${encodeQuery({ identity: args.identity })}`) }
})

const add = defineCommand({
  meta: { name: 'add', description: 'Add the empty replica at an address as a learner' },
  args: { ...operatorArguments, address: { type: 'string', description: 'Peer address of the replica', required: true } },
  run: async ({ args }) => { await postAndPrint(args, `/v1/replica/add?${encodeQuery({ address: args.address })}`) }
})

const promote = defineCommand({
  meta: { name: 'promote', description: 'Promote a learner that has caught up to a voter' },
  args: { ...operatorArguments, identity: { type: 'string', description: 'Identity of the replica', required: true } },
  run: async ({ args }) => { await postAndPrint(args, `/v1/replica/promote?${encodeQuery({ identity: args.identity })}`) }
})

const recover = defineCommand({
  meta: { name: 'recover', description: 'After the permanent loss of a majority: continue with the contacted host\'s replica alone (see docs/operations/replicas.md)' },
  args: { ...operatorArguments, identity: { type: 'string', description: 'Identity of the contacted host\'s replica, as confirmation', required: true } },
  run: async ({ args }) => { await postAndPrint(args, `/v1/replica/recover?${encodeQuery({ identity: args.identity })}`) }
})

/** `hibiscusrelay replica`: manages the group of replicas that store the accepted sheets. */
export const replicaCommand = defineCommand({
  meta: { name: 'replica', description: 'Bootstrap, inspect and repair the replicas of the accepted sheets' },
  subCommands: { status, bootstrap, replace, add, promote, remove, recover }
})
