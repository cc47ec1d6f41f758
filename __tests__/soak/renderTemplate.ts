/** Values of a settings template by their names; a list is joined by commas. */
export type TemplateFields = Record<string, unknown>

/**
 * Fills a settings template in as the platform does: values, and sections over the entries of a table.
 *
 * @param template - text with `{{name}}`, `{{table.key}}` and `{{#table}} … {{/table}}`
 * @param fields - values of the names; a name without a value is filled in with nothing
 */
export function renderTemplate (template: string, fields: TemplateFields): string {
  const withSections = template.replace(/\{\{#(\w+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g, (_, name: string, content: string) => Object.entries(fields[name] ?? {})
    .map(([key, value]) => content.replaceAll('{{@}}', key).replaceAll('{{.}}', String(value))).join(''))
  return withSections.replace(/\{\{([\w.]+)\}\}/g, (_, path: string) => {
    const value = path.split('.').reduce<unknown>((current, key) => (current as TemplateFields | undefined)?.[key], fields)
    return Array.isArray(value) ? value.join(',') : String(value ?? '')
  })
}
