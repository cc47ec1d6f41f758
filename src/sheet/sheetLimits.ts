/** Limits of a sheet. The setting `sheet-bytes` can only lower {@link MAXIMUM_SHEET_BYTES}. */
export const MAXIMUM_SHEET_BYTES = 4 * 1024 * 1024
export const MAXIMUM_SHEET_ROWS = 50_000
export const MAXIMUM_ROW_BYTES = 4096
export const MAXIMUM_PLACES = 65_535
export const MAXIMUM_SHEET_NUMBER = 999_999_999_999
export const MAXIMUM_SHARE = 1_000_000
export const MAXIMUM_CAP_REQUESTS_PER_SECOND = 10_000_000
export const MAXIMUM_LINK_MEGABITS_PER_SECOND = 10_000_000
/** Guest place name of the default placements, which apply to every guest place without placements of its own. */
export const ANY_GUEST_PLACE = '*'
