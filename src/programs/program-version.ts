/** Version that `--version` prints. */
export const programVersion = '0.1.0';
