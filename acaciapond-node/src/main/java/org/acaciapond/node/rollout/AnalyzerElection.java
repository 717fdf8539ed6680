package org.acaciapond.node.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.membership.RendezvousHash;

/** Election of judges and of reporting witnesses by rendezvous hashing; no messages are needed. */
final class AnalyzerElection {

  /** Witnesses of one caller service and failure domain; bounds what a judge receives. */
  private static final int WITNESSES_PER_DOMAIN = 4;

  private AnalyzerElection() {}

  /** Returns the judges of a service: one of its nodes in each failure domain. */
  static List<Member> judges(MembershipView members, String service) {
    Map<String, Map<String, Member>> byDomain = new TreeMap<>();
    for (Member member : members.members()) {
      if (member.service().equals(service)) {
        byDomain
            .computeIfAbsent(member.failureDomain(), d -> new TreeMap<>())
            .put(member.hostId(), member);
      }
    }
    List<Member> judges = new ArrayList<>();
    for (Map<String, Member> candidates : byDomain.values()) {
      String first = RendezvousHash.rank("judge/" + service, candidates.keySet()).get(0);
      judges.add(candidates.get(first));
    }
    return judges;
  }

  /** Returns whether this node is among the witnesses of its service in its failure domain. */
  static boolean isWitness(MembershipView members) {
    Member self = members.self();
    List<String> peers =
        members.domainMembers(self.failureDomain()).stream()
            .filter(member -> member.service().equals(self.service()))
            .map(Member::hostId)
            .toList();
    int rank = RendezvousHash.rank("witness/" + self.service(), peers).indexOf(self.hostId());
    return rank >= 0 && rank < WITNESSES_PER_DOMAIN;
  }
}
