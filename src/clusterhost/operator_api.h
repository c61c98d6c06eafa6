#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "base/ids.h"
#include "cluster/evacuation_order.h"
#include "cluster/evacuation_state.h"
#include "clusterhost/proposal_outcome.h"
#include "frontend/http_request.h"
#include "frontend/http_response.h"

namespace sapphirecrank::clusterhost {

/// The HTTP API of an allocator for operators: `GET /v1/evacuations` lists the evacuations, and
/// `PUT` and `DELETE /v1/evacuations/<data centre>` start and finish one. An allocator that doesn't
/// lead redirects orders to the leader.
///
/// Thread safety: all methods may be called from any thread.
class OperatorApi {
 public:
  using ResponseCallback = std::function<void(const frontend::HttpResponse&)>;
  using ProposalCallback = std::function<void(ProposalOutcome)>;

  /// Functions that this class calls, from any thread. All members must be set.
  struct Hooks {
    std::function<bool(const base::DataCentreId&)> is_known_data_centre;
    /// Propose an order; the callback is called at most once, on any thread.
    std::function<void(const base::DataCentreId&, const ProposalCallback&)> start_evacuation;
    std::function<void(const base::DataCentreId&, const ProposalCallback&)> finish_evacuation;
    /// Returns the evacuations on which this host acts.
    std::function<cluster::EvacuationState()> evacuations;
    /// Returns how many runs may be active on this host's targets, by data centre.
    std::function<std::map<base::DataCentreId, size_t>()> run_counts;
    /// Returns the address at which the leader serves operators, or nothing if none is known.
    std::function<std::string()> leader_address;
  };

  explicit OperatorApi(Hooks hooks);

  /// Tells whether requests for `path` are for this API. Thread safety: pure.
  static bool ServesPath(const std::string& path);

  /// Handles a request. `respond` is called once, on any thread, unless the host stops first.
  void Handle(const frontend::HttpRequest& request, const ResponseCallback& respond);

  /// Carries out an order. Responds with 400 if the request has a body or `data_centre` isn't
  /// known; 200 once the order is committed; a redirect to `path_prefix` and the data centre on the
  /// leader if another host leads; and otherwise 503, after which the order may be carried out
  /// later.
  void OrderEvacuation(cluster::EvacuationOrder::Kind kind, const frontend::HttpRequest& request,
                       const std::string& data_centre, const std::string& path_prefix,
                       const ResponseCallback& respond);

 private:
  frontend::HttpResponse ListEvacuations() const;

  Hooks hooks;
};

}  // namespace sapphirecrank::clusterhost
