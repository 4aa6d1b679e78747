#include "reference_check.h"

#include <string>
#include <unordered_set>

namespace coltsfootfork {
namespace {

constexpr const char* kDuplicateId = "the id stands earlier in the list";

// The names of one kind of entity in the inventory. Empty names are skipped,
// because the schema check has reported them.
template <typename I>
class NameSet {
 public:
  explicit NameSet(const char* kind) : kind_(kind) {}

  void Define(const I& id, const std::string& place,
              BoundedFindings& findings) {
    if (id.empty()) return;
    if (!ids_.insert(id).second) findings.Add(place, kDuplicateId);
  }

  void CheckUse(const I& id, const std::string& place,
                BoundedFindings& findings) const {
    if (id.empty() || ids_.count(id) > 0) return;
    findings.Add(place, std::string("the inventory has no ") + kind_ + " \"" +
                            Excerpt(id.value()) + "\"");
  }

 private:
  const char* kind_;
  std::unordered_set<I> ids_;
};

class ReferenceCheck {
 public:
  ReferenceCheck(const Configuration& configuration, BoundedFindings& findings)
      : configuration_(configuration), findings_(findings) {}

  void Run() {
    DefineNames();
    CheckServers();
    CheckWorkspaceKeys();
    CheckRankRules();
    CheckNonIdempotentRules();
  }

 private:
  template <typename Entities, typename I>
  void Define(const Entities& entities, const std::string& list,
              NameSet<I>& names) {
    for (std::size_t i = 0; i < entities.size(); ++i) {
      names.Define(entities[i].id, ChildPointer(list, i) + "/id", findings_);
    }
  }

  void DefineNames() {
    Define(configuration_.zones, "/inventory/availability_zones", zones_);
    Define(configuration_.services, "/inventory/services", services_);
    Define(configuration_.servers, "/inventory/engines", servers_);
    Define(configuration_.workspaces, "/inventory/workspaces", workspaces_);
  }

  void CheckServers() {
    for (std::size_t i = 0; i < configuration_.servers.size(); ++i) {
      const InventoryServer& server = configuration_.servers[i];
      const std::string place = ChildPointer("/inventory/engines", i);
      zones_.CheckUse(server.zone, place + "/availability_zone", findings_);
      NameSet<ServiceId> server_services("service");
      for (std::size_t j = 0; j < server.services.size(); ++j) {
        const std::string at = ChildPointer(place + "/services", j);
        services_.CheckUse(server.services[j], at, findings_);
        server_services.Define(server.services[j], at, findings_);
      }
    }
  }

  // A bearer key must identify a single workspace.
  void CheckWorkspaceKeys() {
    std::unordered_set<std::string> keys;
    for (std::size_t i = 0; i < configuration_.workspaces.size(); ++i) {
      const std::string& key = configuration_.workspaces[i].key_sha256;
      if (!key.empty() && !keys.insert(key).second) {
        findings_.Add(ChildPointer("/inventory/workspaces", i) + "/key_sha256",
                      "another workspace has the same key");
      }
    }
  }

  void CheckRankRules() {
    const auto& rules = configuration_.rules.ranks;
    for (std::size_t i = 0; i < rules.size(); ++i) {
      const std::string place = ChildPointer("/rules/ranks", i);
      workspaces_.CheckUse(rules[i].workspace.value_or(WorkspaceId()),
                           place + "/workspace", findings_);
      services_.CheckUse(rules[i].service.value_or(ServiceId()),
                         place + "/service", findings_);
    }
  }

  void CheckNonIdempotentRules() {
    const auto& rules = configuration_.rules.non_idempotent;
    for (std::size_t i = 0; i < rules.size(); ++i) {
      const std::string place = ChildPointer("/rules/non_idempotent", i);
      services_.CheckUse(rules[i].service, place + "/service", findings_);
      const std::string& path = rules[i].path_prefix;
      if (!path.empty() && path.front() != '/') {
        findings_.Add(place + "/path_prefix", "must begin with '/'");
      }
    }
  }

  const Configuration& configuration_;
  BoundedFindings& findings_;
  NameSet<ZoneId> zones_{"availability zone"};
  NameSet<ServiceId> services_{"service"};
  NameSet<ServerId> servers_{"engine"};
  NameSet<WorkspaceId> workspaces_{"workspace"};
};

}  // namespace

void CheckReferences(const Configuration& configuration,
                     BoundedFindings& findings) {
  ReferenceCheck(configuration, findings).Run();
}

}  // namespace coltsfootfork
