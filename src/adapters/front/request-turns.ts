import type {IncomingMessage, ServerResponse} from 'node:http';

/** What becomes of a request beside its bytes. */
export type RequestReception = {
	/** IP address of the caller. */
	readonly address: string;
	/** Sets the function that refuses the request while it is received; without one the connection is closed. */
	onRefused: (() => void) | undefined;
};

/** Takes a request whose turn it is. */
export type TurnListener = (
	request: IncomingMessage,
	response: ServerResponse,
	reception: RequestReception,
) => void;

export type RequestTurnsOptions = {
	/** IP address of the caller. */
	readonly address: string;
	/** False once the connection closes; a request that has not begun is then never run. */
	readonly isOpen: () => boolean;
	/** Called when a response is sent and read, so that the next request may be parsed. */
	readonly onTurnEnded: () => void;
	/** Called when more requests were parsed than may wait; the connection must then be closed. */
	readonly onTooMany: () => void;
};

/** The requests of one connection, served one after the other. */
export type RequestTurns = {
	/** Requests whose response is not sent and read. */
	readonly openCount: number;
	/** True while a request was received whole and its response is not sent and read. */
	readonly hasWholeRequest: boolean;
	/** True while the body of a request has not been received whole. */
	readonly isReceivingBody: boolean;
	/**
	 * Refuses the request whose body is being received.
	 * @returns false if there is none, or none that can be answered
	 */
	refuse(): boolean;
	/** Serves a request at once, or after the earlier ones of the connection. */
	add(
		request: IncomingMessage,
		response: ServerResponse,
		serve: TurnListener,
	): void;
};

/**
 * Requests of a connection that may wait behind the one being served. A paced connection lets a second
 * one through only if the end of a head is split between two packets.
 */
const maxWaitingRequests = 4;

type Turn = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly reception: RequestReception;
	readonly start: () => void;
};

/** Creates the turns of a connection without requests. */
export function createRequestTurns({
	address,
	isOpen,
	onTurnEnded,
	onTooMany,
}: RequestTurnsOptions): RequestTurns {
	const turns: Turn[] = [];

	const endTurn = (turn: Turn) => {
		const index = turns.indexOf(turn);
		turns.splice(index, 1);
		if (!isOpen()) {
			return;
		}

		if (index === 0) {
			turns.at(0)?.start();
		}

		onTurnEnded();
	};

	return {
		get openCount() {
			return turns.length;
		},
		get hasWholeRequest() {
			return turns.some(({request}) => request.complete);
		},
		get isReceivingBody() {
			return turns.some(({request}) => !request.complete);
		},
		refuse() {
			const turn = turns.at(0);
			if (!turn?.reception.onRefused || turn.response.headersSent) {
				return false;
			}

			turn.reception.onRefused();
			return true;
		},
		add(request, response, serve) {
			const reception: RequestReception = {address, onRefused: undefined};
			const turn: Turn = {
				request,
				response,
				reception,
				start() {
					serve(request, response, reception);
				},
			};
			turns.push(turn);
			response.once('close', () => {
				endTurn(turn);
			});
			if (turns.length === 1) {
				turn.start();
			} else if (turns.length > maxWaitingRequests + 1) {
				onTooMany();
			}
		},
	};
}
