/** Version of all programs, printed by `--version`. */
export const programVersion = '0.1.0';
