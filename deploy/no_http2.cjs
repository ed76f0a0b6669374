// Stands for node:http2, which takes 18 ms of a start and is never spoken.
"use strict";

module.exports = { constants: {} };
