import { readFileSync } from 'node:fs'

/**
 * @param role - role of a process of the platform form
 * @returns the options of the runtime with which the deploy file starts it, such as its heap limit
 */
export function listRuntimeOptions (role: string): string[] {
  const text = readFileSync('deploy/system.toml', 'utf8')
  return new RegExp(`run = "node (.*) target/${role}\\.mjs"`).exec(text)?.[1]?.split(' ') ?? []
}
