/// \file
/// The read-only status page that a node serves to browsers. It has a field for
/// the operators' token and shows the content of /v1/status and /metrics.
#ifndef SESAMESPREAD_LIB_TRANSPORT_STATUS_PAGE_H_
#define SESAMESPREAD_LIB_TRANSPORT_STATUS_PAGE_H_

namespace sesamespread::transport {

constexpr char kStatusPage[] = R"html(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>sesamespread node</title>
<style>
body { font-family: sans-serif; margin: 1.5em; color: #222; }
table { border-collapse: collapse; margin: .5em 0 1.5em; }
td, th { border: 1px solid #ccc; padding: .25em .6em; text-align: left; }
th { background: #f2f2f2; } .bad { color: #b00; }
</style></head><body>
<h1 id="title">sesamespread node</h1>
<p><label>Token <input id="token" type="password" size="30"></label>
<span id="error" class="bad"></span> <span id="time"></span></p>
<h2>Configuration and load</h2><table id="summary"></table>
<h2 id="nodes-title">Nodes</h2><table id="nodes"></table>
<h2>Servers in use by this node</h2><table id="servers"></table>
<h2>Services that this node sheds for</h2><table id="thresholds"></table>
<h2>Refusals and results</h2><table id="results"></table>
<script>
const byId = id => document.getElementById(id);
function fill(id, head, rows) {
  const table = byId(id);
  table.textContent = '';
  for (const [tag, row] of [['th', head], ...rows.map(r => ['td', r])]) {
    const tr = table.insertRow();
    for (const value of row) {
      const cell = document.createElement(tag);
      cell.textContent = value;
      tr.appendChild(cell);
    }
  }
}
function headers() {
  const token = byId('token').value;
  return token ? {Authorization: 'Bearer ' + token} : {};
}
async function refresh() {
  try {
    const answer = await fetch('/v1/status', {headers: headers()});
    if (answer.status === 401)
      throw new Error(byId('token').value ? 'the node refused the token' :
                                            "enter the operators' token");
    if (!answer.ok) throw new Error('the node answered ' + answer.status);
    const s = await answer.json();
    byId('title').textContent = 'sesamespread node ' + s.name;
    fill('summary', ['field', 'value'],
         Object.entries(s).filter(([, v]) => typeof v !== 'object'));
    const warnings = [];
    if (s.isolated) warnings.push('isolated: no other node is heard');
    if (s.configuration_version < s.highest_seen_version)
      warnings.push('configuration is ' +
        (s.highest_seen_version - s.configuration_version) + ' versions behind');
    if (s.stopping) warnings.push('stopping');
    else if (!s.ready) warnings.push('not ready');
    byId('nodes-title').textContent =
        'Nodes (' + s.nodes.length + ' of ' + s.nodes_known + ')';
    fill('nodes',
         ['node', 'zone', 'service', 'backend server', 'liveness', 'live'],
         s.nodes.map(n => [n.name, n.zone, n.service, n.backend_state,
                           n.liveness, n.live]));
    const nodes = new Map(s.nodes.map(n => [n.node, n]));
    fill('servers',
         ['node', 'service', 'distance', 'in flight', 'latency us', 'refusals',
          'ejected', 'unreachable'],
         s.servers.map(v => {
           const n = nodes.get(v.node) || {name: v.node, service: ''};
           return [n.name, n.service, v.distance, v.in_flight, v.latency_us,
                   v.refusal_rate, v.ejected, v.unreachable];
         }));
    fill('thresholds', ['service', 'threshold of 384'],
         s.thresholds.map(t => [t.service, t.threshold]));
    const metrics = await (await fetch('/metrics', {headers: headers()})).text();
    const rows = [];
    for (const line of metrics.split('\n')) {
      const m = line.match(
        /^sesamespread_requests_total\{result="(\d+)",service="([^"]+)"\} (\S+)/);
      if (m) rows.push([m[2], m[1], m[3]]);
    }
    fill('results', ['service', 'result', 'requests'], rows);
    byId('error').textContent = warnings.join('; ');
    byId('time').textContent = 'as of ' + new Date().toLocaleTimeString();
  } catch (error) {
    byId('error').textContent = error.message;
  }
}
refresh();
setInterval(refresh, 2000);
</script></body></html>
)html";

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_LIB_TRANSPORT_STATUS_PAGE_H_
