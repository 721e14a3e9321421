// The parts of undici that the router's bundle uses. The main module of the
// package also loads fetch, WebSocket and caches, which costs a process 10 MB
// of memory and 60 ms at its start.
const api = require("undici/lib/api");
const Agent = require("undici/lib/dispatcher/agent");
const Client = require("undici/lib/dispatcher/client");
const Dispatcher = require("undici/lib/dispatcher/dispatcher");
const Pool = require("undici/lib/dispatcher/pool");

Object.assign(Dispatcher.prototype, api);
module.exports = { Agent, Client, Dispatcher, Pool };
