'use strict';

// Stub of node:http2 for the bundle; undici reads its `constants` when it is loaded.
module.exports = {constants: {}};
