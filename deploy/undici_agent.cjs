// Exports the parts of undici that the daemon uses. The package's entry point
// also loads fetch, mocks, caches and WebSockets: a third of the startup time.
"use strict";

const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const { request } = require("undici/lib/api/index.js");
const buildConnector = require("undici/lib/core/connect.js");
const Agent = require("undici/lib/dispatcher/agent.js");
const Client = require("undici/lib/dispatcher/client.js");
const Pool = require("undici/lib/dispatcher/pool.js");

Object.assign(Dispatcher.prototype, { request });

module.exports = { Agent, buildConnector, Client, Pool };
