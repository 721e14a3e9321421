// What the bundles use of undici: its connections. The package's own entry
// loads fetch, WebSocket and caches as well, which costs a process 10 MB and
// 60 ms at its start.
const api = require("undici/lib/api");
const Agent = require("undici/lib/dispatcher/agent");
const Client = require("undici/lib/dispatcher/client");
const Dispatcher = require("undici/lib/dispatcher/dispatcher");
const Pool = require("undici/lib/dispatcher/pool");

Object.assign(Dispatcher.prototype, api);
module.exports = { Agent, Client, Dispatcher, Pool };
