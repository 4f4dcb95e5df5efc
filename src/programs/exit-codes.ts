/** Exit codes of all programs; `usage` stands for an invalid flag or setting. */
export const exitCodes = {success: 0, failure: 1, usage: 2} as const;
