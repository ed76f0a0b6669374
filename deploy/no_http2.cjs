// Replaces node:http2, which takes 18 ms to load and is never used.
"use strict";

module.exports = { constants: {} };
