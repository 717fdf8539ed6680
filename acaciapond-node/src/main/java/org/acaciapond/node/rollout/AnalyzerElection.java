package org.acaciapond.node.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.membership.RendezvousHash;

/** Election of analyzers and reporters by rendezvous hashing, without messages. */
final class AnalyzerElection {

  /** Reporters per calling service and failure domain; limits what an analyzer receives. */
  private static final int REPORTERS_PER_DOMAIN = 4;

  private AnalyzerElection() {}

  /** Returns the analyzers of a service: one of its nodes in each failure domain. */
  static List<Member> electAnalyzers(MembershipView members, String service) {
    Map<String, Map<String, Member>> byDomain = new TreeMap<>();
    for (Member member : members.members()) {
      if (member.service().equals(service)) {
        byDomain
            .computeIfAbsent(member.failureDomain(), d -> new TreeMap<>())
            .put(member.hostId(), member);
      }
    }
    List<Member> analyzers = new ArrayList<>();
    for (Map<String, Member> candidates : byDomain.values()) {
      String first = RendezvousHash.rank("judge/" + service, candidates.keySet()).get(0);
      analyzers.add(candidates.get(first));
    }
    return analyzers;
  }

  /** Returns whether this node is a reporter for its service and failure domain. */
  static boolean isReporter(MembershipView members) {
    Member self = members.self();
    List<String> peers =
        members.domainMembers(self.failureDomain()).stream()
            .filter(member -> member.service().equals(self.service()))
            .map(Member::hostId)
            .toList();
    int rank = RendezvousHash.rank("witness/" + self.service(), peers).indexOf(self.hostId());
    return rank >= 0 && rank < REPORTERS_PER_DOMAIN;
  }
}
