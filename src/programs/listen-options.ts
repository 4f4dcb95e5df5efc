/** Flags that set the address and port on which a stand-in listens. */
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
