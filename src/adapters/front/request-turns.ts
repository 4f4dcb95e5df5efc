import type {IncomingMessage, ServerResponse} from 'node:http';

/** Takes a request whose turn it is. */
export type TurnListener = (
	request: IncomingMessage,
	response: ServerResponse,
) => void;

export type RequestTurnsOptions = {
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
	readonly start: () => void;
};

/** Creates the turns of a connection without requests. */
export function createRequestTurns({
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
		add(request, response, serve) {
			const turn: Turn = {
				request,
				start() {
					serve(request, response);
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
