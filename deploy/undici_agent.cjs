// What of undici the daemon uses. The package's own entry loads its fetch,
// mocks, caches and sockets as well, a third of the daemon's start.
"use strict";

const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const { request } = require("undici/lib/api/index.js");
const Agent = require("undici/lib/dispatcher/agent.js");

Object.assign(Dispatcher.prototype, { request });

module.exports = { Agent };
