// Exports the parts of undici that the daemon uses. The package's entry point
// also loads fetch, mocks, caches and WebSockets: a third of the startup time.
"use strict";

const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const { request } = require("undici/lib/api/index.js");
const Agent = require("undici/lib/dispatcher/agent.js");

Object.assign(Dispatcher.prototype, { request });

module.exports = { Agent };
