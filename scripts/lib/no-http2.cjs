'use strict';

// Stands in for Node's HTTP/2, of which undici reads the names of headers when it is loaded.
module.exports = {constants: {}};
