/**
 * @file placement.cpp
 * Baselines and load-aware placement.
 */

#include "balance_func.h"
#include "placement_base.h"

#include <algorithm>
#include <cmath>

namespace chicoryhead {

namespace {

/// Separate streams of hash bits, so that decisions about one flow are independent.
constexpr std::uint64_t uniformStream = 0x756e6966;
constexpr std::uint64_t rampStream = 0x72616d70;
constexpr std::uint64_t domainStream = 0x646f6d61;
/// Weight of a new report in the smoothed load; one sample of two or three slots is mostly noise.
constexpr double loadSmoothing = 0.2;
/// Records of removed upstreams that are kept at least, so that they are dropped in bulk.
constexpr std::size_t spareRecords = 1024;

double uniformOf(flow_hash hash, std::uint64_t stream)
{
    return (static_cast<double>(mixHash(hash, stream) >> 11) + 0.5) * 0x1.0p-53;
}

/** Weighted rendezvous score: the highest of -weight / ln(u) wins in proportion to weights. */
double rendezvousScore(flow_hash hash, upstream_id upstream, double weight)
{
    return -weight / std::log(uniformOf(hash, idValue(upstream)));
}

double toSeconds(monotonic_time time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

upstream_id uniform_placement::choose(const service_config &service, const slot_entry &,
                                      flow_hash hash)
{
    std::vector<upstream_id> active;
    for (const upstream_config &upstream : service.upstreams) {
        if (upstream.mode == upstream_mode::Active)
            active.push_back(upstream.id);
    }
    if (active.empty())
        return noUpstream;
    return active[mixHash(hash, uniformStream) % active.size()];
}

bool uniform_placement::isDeflected(const service_config &, upstream_id) const
{
    return false;
}

bool uniform_placement::wasDeflected(upstream_id) const
{
    return false;
}

bool uniform_placement::admit(const service_config &)
{
    return true;
}

upstream_id weighted_hash_placement::choose(const service_config &service, const slot_entry &,
                                            flow_hash hash)
{
    upstream_id best = noUpstream;
    double bestScore = -1;
    for (const upstream_config &upstream : service.upstreams) {
        if (upstream.mode != upstream_mode::Active)
            continue;
        const double score = rendezvousScore(hash, upstream.id, upstream.weight);
        if (score > bestScore) {
            best = upstream.id;
            bestScore = score;
        }
    }
    return best;
}

load_aware_placement::load_aware_placement(const clock_source &clock, const blackboard &board,
                                           flow_limiter &limiter, placement_settings settings)
    : m_clock(clock), m_board(board), m_limiter(limiter), m_settings(settings)
{
}

upstream_id load_aware_placement::choose(const service_config &service, const slot_entry &slot,
                                         flow_hash hash)
{
    const service_view &view = viewOf(service);
    const auto next = m_board.upstreams.find(slot.next);
    const bool isNewlyDeflected = next != m_board.upstreams.end()
        && next->second.condition == upstream_condition::Deflected
        && !isDeflected(service, slot.next);
    // Until every instance tracks the slot, an exception could be missed by one that does not.
    if (isNewlyDeflected && !slot.isTracked())
        return slot.next;
    if (view.options.empty())
        return noUpstream;

    const option *chosen = nullptr;
    upstream_id excluded = noUpstream;
    if (!view.isFullyTracked) {
        const auto found =
            std::find_if(view.options.begin(), view.options.end(),
                         [&](const option &item) { return item.upstream->id == slot.next; });
        if (found != view.options.end()) {
            if (uniformOf(hash, rampStream) < rampShare(slot.next))
                chosen = &*found;
            else if (view.options.size() > 1)
                excluded = slot.next; // the share that a ramping upstream gives up
        }
    }
    if (!chosen)
        chosen = chooseOfTwo(view, hash, excluded);
    // The holder needs no record, so it is kept unless the other has clearly less load.
    if (view.isFullyTracked && m_settings.holderPreference > 0) {
        const auto holder =
            std::find_if(view.options.begin(), view.options.end(),
                         [&](const option &item) { return item.upstream->id == slot.next; });
        if (holder != view.options.end()
            && estimate(*holder) <= m_settings.holderPreference * estimate(*chosen))
            chosen = &*holder;
    }
    notePlaced(*chosen->state);
    return chosen->upstream->id;
}

bool load_aware_placement::isDeflected(const service_config &service, upstream_id upstream) const
{
    const auto found = m_board.upstreams.find(upstream);
    if (found == m_board.upstreams.end())
        return false;
    const upstream_state &state = found->second;
    // Only the first deflection makes the slots tracked; a later one counts at once.
    return state.condition == upstream_condition::Deflected
        && m_clock.now() - state.trackedSince >= m_settings.deflectionDelay
        && !isExempt(state, panicOf(service));
}

bool load_aware_placement::wasDeflected(upstream_id upstream) const
{
    const auto found = m_board.upstreams.find(upstream);
    return found != m_board.upstreams.end() && found->second.incarnation > 0;
}

bool load_aware_placement::admit(const service_config &service)
{
    return m_limiter.admit(service);
}

double load_aware_placement::rampShare(upstream_id upstream) const
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end())
        return 1;
    const record &entry = found->second;
    if (!entry.isOpen)
        return entry.share;
    const double slope = (1 - m_settings.rampStart) / toSeconds(m_settings.rampTime);
    const double seconds = toSeconds(m_clock.now() - entry.shareAt);
    const double known = m_settings.carefulShare * entry.ceiling;
    const double quick = entry.share + slope * seconds;
    if (quick <= known || entry.ceiling >= 1)
        return std::min(1.0, quick);
    // Close to the share at which it was overloaded last, the upstream ramps up slowly.
    const double left = seconds - std::max(0.0, known - entry.share) / slope;
    const double slow = std::max(known, entry.share) + slope * m_settings.carefulSlope * left;
    return std::min(1.0, slow);
}

const load_aware_placement::service_view &
load_aware_placement::viewOf(const service_config &service)
{
    const auto now = m_clock.now();
    const auto version = m_board.config->version;
    dropRemoved();
    service_view &view = m_views[service.id];
    const bool isSame = view.config == &service && view.version == version;
    if (isSame && now - view.builtAt < m_settings.viewLifetime
        && view.membersRevision == m_board.membersRevision)
        return view;
    if (!isSame) {
        view.isFullyTracked = !service.slots.empty()
            && std::all_of(service.slots.begin(), service.slots.end(),
                           [](const slot_entry &slot) { return slot.tracked; });
    }
    view.config = &service;
    view.version = version;
    view.builtAt = now;
    view.membersRevision = m_board.membersRevision;
    updateRecords(service);
    const panic_scope panic = panicOf(service);
    view.options.clear();
    for (const upstream_config &upstream : service.upstreams) {
        if (isAccepting(upstream, panic))
            view.options.push_back(
                {&upstream, &m_records.at(upstream.id), effectiveWeight(upstream)});
    }
    shareDomains(view);
    return view;
}

void load_aware_placement::dropRemoved()
{
    if (m_records.size() <= 2 * m_board.upstreams.size() + spareRecords)
        return;
    m_views.clear(); // they refer to records
    std::erase_if(m_records,
                  [this](const auto &item) { return !m_board.upstreams.contains(item.first); });
}

void load_aware_placement::updateRecords(const service_config &service)
{
    const auto now = m_clock.now();
    if (m_firstVersion == 0)
        m_firstVersion = m_board.config->version;
    double sum = 0;
    int count = 0;
    for (const upstream_config &upstream : service.upstreams) {
        const auto [found, isNew] = m_records.try_emplace(upstream.id);
        record &entry = found->second;
        if (isNew && upstream.addedIn > m_firstVersion) {
            entry.share = m_settings.rampStart;
            entry.shareAt = m_board.configAppliedAt;
        }
        updateRecord(upstream, entry, now);
        if (entry.loadAt.count() > 0 && now - entry.loadAt <= m_settings.freshness) {
            sum += entry.load;
            ++count;
        }
    }
    m_meanLoad = count > 0 ? sum / count : 0;
}

void load_aware_placement::updateRecord(const upstream_config &upstream, record &entry,
                                        monotonic_time now)
{
    const auto found = m_board.upstreams.find(upstream.id);
    if (found == m_board.upstreams.end())
        return;
    const upstream_state &state = found->second;
    if (state.reportedAt > entry.loadAt) {
        const double load = state.loadPermille / 1000.0;
        entry.load += (entry.loadAt.count() > 0 ? loadSmoothing : 1.0) * (load - entry.load);
        entry.loadAt = state.reportedAt;
    }
    if (state.incarnation == entry.incarnation)
        return;
    entry.incarnation = state.incarnation;
    const bool isOpen = state.condition == upstream_condition::Open;
    if (entry.isOpen) {
        const double share = rampShare(upstream.id);
        entry.share = std::max(m_settings.rampStart, share * m_settings.reopenShare);
        entry.ceiling = std::min(share, m_settings.maxCeiling);
    }
    if (state.reason == condition_reason::Cold)
        entry.share = m_settings.rampStart;
    if (state.reason != condition_reason::Load)
        entry.ceiling = 1;
    entry.isOpen = isOpen;
    entry.shareAt = isOpen ? state.changedAt : now;
}

bool load_aware_placement::isAccepting(const upstream_config &upstream, panic_scope panic) const
{
    if (upstream.mode != upstream_mode::Active)
        return false;
    const auto found = m_board.upstreams.find(upstream.id);
    if (found == m_board.upstreams.end())
        return true;
    const upstream_state &state = found->second;
    const double full = m_settings.fullShare * upstream.maxFlows;
    if (state.openFlows >= full)
        return false;
    return state.condition == upstream_condition::Open || isExempt(state, panic);
}

load_aware_placement::panic_scope load_aware_placement::panicOf(const service_config &service) const
{
    double reachable = 0;
    double deflected = 0;
    for (const upstream_config &upstream : service.upstreams) {
        if (upstream.mode != upstream_mode::Active)
            continue;
        const auto found = m_board.upstreams.find(upstream.id);
        const bool isOpen =
            found == m_board.upstreams.end() || found->second.condition == upstream_condition::Open;
        // In a partition most upstreams may be out of reach, and must not be treated as open.
        if (!isOpen && found->second.reason == condition_reason::Unreachable)
            continue;
        reachable += upstream.weight;
        deflected += isOpen ? 0 : upstream.weight;
    }
    if (reachable <= 0)
        return panic_scope::All;
    return deflected > m_settings.panicShare * reachable ? panic_scope::Reachable
                                                         : panic_scope::None;
}

bool load_aware_placement::isExempt(const upstream_state &state, panic_scope panic)
{
    if (panic == panic_scope::Reachable)
        return state.reason != condition_reason::Unreachable;
    return panic == panic_scope::All;
}

double load_aware_placement::effectiveWeight(const upstream_config &upstream) const
{
    return upstream.weight * rampShare(upstream.id);
}

void load_aware_placement::countMembers()
{
    if (m_ready > 0 && m_membersRevision == m_board.membersRevision)
        return;
    m_membersRevision = m_board.membersRevision;
    m_readyInDomain.clear();
    m_ready = 0;
    for (const auto &[id, candidate] : m_board.members) {
        if (candidate.state != member_state::Ready)
            continue;
        m_readyInDomain[candidate.domain] += 1;
        m_ready += 1;
    }
}

void load_aware_placement::shareDomains(service_view &view)
{
    countMembers();
    double weight = 0;
    for (const option &item : view.options)
        weight += item.weight;
    std::map<domain_id, double> room; // share of weight minus share of flows, per domain
    for (const option &item : view.options)
        room[item.upstream->domain] += item.weight / weight;

    const domain_id own = m_board.self.domain;
    const double ownWeight = room[own];
    for (auto &[domain, left] : room) {
        const auto count = m_readyInDomain.find(domain);
        if (count != m_readyInDomain.end())
            left -= count->second / m_ready;
    }
    const auto found = m_readyInDomain.find(own);
    const double ownMembers = found != m_readyInDomain.end() ? found->second : 0;
    view.keptShare = ownMembers > 0 ? ownWeight * m_ready / ownMembers : ownWeight;
    // What exceeds the own domain's share spills over to the domains that have room left.
    view.spill.clear();
    view.spillTotal = 0;
    for (const auto &[domain, left] : room) {
        if (domain == own || left <= 0)
            continue;
        view.spill.emplace_back(domain, left);
        view.spillTotal += left;
    }
}

domain_id load_aware_placement::chooseDomain(const service_view &view, flow_hash hash) const
{
    const double position = uniformOf(hash, domainStream);
    if (position < view.keptShare || view.spill.empty())
        return m_board.self.domain;
    double remaining = (position - view.keptShare) / (1 - view.keptShare) * view.spillTotal;
    for (const auto &[domain, left] : view.spill) {
        remaining -= left;
        if (remaining < 0)
            return domain;
    }
    return view.spill.back().first;
}

double load_aware_placement::estimate(const option &item) const
{
    const double weight = std::max(item.weight, 1e-3);
    const record &entry = *item.state;
    const auto now = m_clock.now();
    double factor = 1;
    const bool isFresh = entry.loadAt.count() > 0 && now - entry.loadAt <= m_settings.freshness;
    if (isFresh && m_meanLoad > 0)
        factor = std::clamp(entry.load / m_meanLoad, 1 / m_settings.maxLoadFactor,
                            m_settings.maxLoadFactor);
    return factor * (decayedPlaced(entry, now) + 1) / weight;
}

const load_aware_placement::option *load_aware_placement::chooseOfTwo(const service_view &view,
                                                                      flow_hash hash,
                                                                      upstream_id excluded) const
{
    const domain_id domain = chooseDomain(view, hash);
    const bool hasDomain =
        std::any_of(view.options.begin(), view.options.end(), [&](const option &item) {
            return item.upstream->domain == domain && item.upstream->id != excluded;
        });
    const option *first = nullptr;
    const option *second = nullptr;
    double firstScore = 0;
    double secondScore = 0;
    for (const option &item : view.options) {
        if ((hasDomain && item.upstream->domain != domain) || item.upstream->id == excluded)
            continue;
        const double score = rendezvousScore(hash, item.upstream->id, item.weight);
        if (!first || score > firstScore) {
            second = first;
            secondScore = firstScore;
            first = &item;
            firstScore = score;
        } else if (!second || score > secondScore) {
            second = &item;
            secondScore = score;
        }
    }
    return !second || estimate(*first) <= estimate(*second) ? first : second;
}

void load_aware_placement::notePlaced(record &entry) const
{
    const auto now = m_clock.now();
    entry.placed = decayedPlaced(entry, now) + 1;
    entry.placedAt = now;
}

double load_aware_placement::decayedPlaced(const record &entry, monotonic_time now) const
{
    return entry.placed
        * std::exp(-toSeconds(now - entry.placedAt) / toSeconds(m_settings.placedMemory));
}

std::unique_ptr<placement_policy>
makeLoadAwarePlacement(const clock_source &clock, const blackboard &board, flow_limiter &limiter)
{
    return std::make_unique<load_aware_placement>(clock, board, limiter);
}

std::unique_ptr<placement_policy> makeUniformPlacement()
{
    return std::make_unique<uniform_placement>();
}

std::unique_ptr<placement_policy> makeWeightedHashPlacement()
{
    return std::make_unique<weighted_hash_placement>();
}

} // namespace chicoryhead
