/** Flags of a stand-in that say where it listens. */
export const listenOptions = {
	'listen-address': {
		type: 'string',
		default: '127.0.0.1',
		describe: 'address to listen on',
	},
	'listen-port': {
		type: 'number',
		demandOption: true,
		describe: 'port to listen on',
	},
} as const;
