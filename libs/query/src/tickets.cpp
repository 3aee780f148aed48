#include <query/query.h>

#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>

namespace chivelock {

namespace {

constexpr char separator = '.';
constexpr std::size_t ticketFieldCount = 4;

template<typename number>
bool parseNumber(std::string_view text, number &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned lowBits = 0xf;
    constexpr unsigned highShift = 4;
    std::string text;
    for (const unsigned char byte : bytes) {
        text += digits[byte >> highShift];
        text += digits[byte & lowBits];
    }
    return text;
}

struct split_ticket {
    std::string_view signedPart;
    std::string_view signature;
};

std::optional<split_ticket> splitTicket(std::string_view ticket)
{
    const std::size_t last = ticket.rfind(separator);
    if (last == std::string_view::npos) {
        return std::nullopt;
    }
    return split_ticket {ticket.substr(0, last), ticket.substr(last + 1)};
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

std::optional<ticket_parts> parseTicket(std::string_view ticket)
{
    const std::optional<split_ticket> ticketAndSignature = splitTicket(ticket);
    if (!ticketAndSignature) {
        return std::nullopt;
    }
    std::array<std::string_view, ticketFieldCount> fields;
    std::string_view rest = ticketAndSignature->signedPart;
    for (std::size_t index = 0; index < ticketFieldCount; ++index) {
        const std::size_t end = rest.find(separator);
        const bool isLast = index + 1 == ticketFieldCount;
        if (isLast != (end == std::string_view::npos)) {
            return std::nullopt;
        }
        fields.at(index) = rest.substr(0, end);
        rest = isLast ? std::string_view() : rest.substr(end + 1);
    }
    ticket_parts parts;
    std::int64_t expiresMicros = 0;
    const bool isNumeric = parseNumber(fields[0], parts.issuer.value) && parseNumber(fields[1], parts.incarnation)
        && parseNumber(fields[2], parts.number) && parseNumber(fields[3], expiresMicros);
    parts.expires = millis::fromMicros(expiresMicros);
    return isNumeric ? std::optional(parts) : std::nullopt;
}

ticket_table::ticket_table(vm_id self, std::uint64_t incarnation, std::string key, ticket_settings settings)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_key(std::move(key))
    , m_settings(settings)
{
    require(!m_key.empty(), "the secret key of the ticket table must not be empty");
}

std::optional<std::string> ticket_table::issue(millis now)
{
    eraseExpired(now);
    if (m_stopped || m_records.size() >= m_settings.capacity) {
        return std::nullopt;
    }
    const std::uint64_t number = m_nextNumber++;
    const millis expires = now + m_settings.lifetime;
    m_records[number].expires = expires;
    const std::string text = std::to_string(m_self.value) + separator + std::to_string(m_incarnation) + separator
        + std::to_string(number) + separator + std::to_string(expires.micros());
    return text + separator + sign(text);
}

ticket_verdict ticket_table::use(std::string_view ticket, std::uint64_t digest, millis now)
{
    const std::optional<ticket_parts> parts = parseTicket(ticket);
    const std::optional<split_ticket> ticketAndSignature = splitTicket(ticket);
    const bool issuedHere = parts && parts->issuer == m_self && parts->incarnation == m_incarnation;
    if (!m_settings.checkIssuer && parts && !issuedHere) {
        const auto [foreign, isNew] = m_records.try_emplace(parts->number);
        foreign->second.expires = now + m_settings.lifetime;
        foreign->second.state = record_state::Running;
        return isNew ? ticket_verdict::Start : ticket_verdict::Running;
    }
    if (!issuedHere || !equalInConstantTime(ticketAndSignature->signature, sign(ticketAndSignature->signedPart))) {
        return ticket_verdict::Unknown;
    }
    const auto found = m_records.find(parts->number);
    // Expiry is checked at the time of use, against this process's clock: a process that resumes after a pause must
    // not start the run of a ticket that expired during the pause, because that run has been given up by then.
    if (found == m_records.end() || now >= found->second.expires) {
        return ticket_verdict::Unknown;
    }
    record &entry = found->second;
    if (entry.state == record_state::Unused && m_stopped) {
        entry.state = record_state::Voided;
    }
    if (entry.state == record_state::Unused) {
        entry.state = record_state::Running;
        entry.digest = digest;
        return ticket_verdict::Start;
    }
    if (entry.digest != 0 && entry.digest != digest) {
        return ticket_verdict::Mismatch;
    }
    switch (entry.state) {
    case record_state::Done:
        return ticket_verdict::Done;
    case record_state::Voided:
        return ticket_verdict::Voided;
    default:
        return ticket_verdict::Running;
    }
}

void ticket_table::finish(std::uint64_t number, lookup_answer answer)
{
    const auto found = m_records.find(number);
    if (found != m_records.end() && found->second.state == record_state::Running) {
        found->second.state = record_state::Done;
        found->second.answer = std::move(answer);
    }
}

void ticket_table::makeVoid(std::uint64_t number, lookup_answer answer)
{
    const auto found = m_records.find(number);
    if (found != m_records.end() && found->second.state != record_state::Done) {
        found->second.state = record_state::Voided;
        found->second.answer = std::move(answer);
    }
}

const lookup_answer *ticket_table::answerOf(std::uint64_t number) const
{
    const auto found = m_records.find(number);
    return found != m_records.end() ? &found->second.answer : nullptr;
}

void ticket_table::stop()
{
    m_stopped = true;
}

void ticket_table::eraseExpired(millis now)
{
    // Ticket numbers increase with the time of issue and all tickets have the same lifetime, so expired tickets come
    // first. A running ticket is kept, because its late result must still find the record.
    while (!m_records.empty() && now >= m_records.begin()->second.expires
           && m_records.begin()->second.state != record_state::Running) {
        m_records.erase(m_records.begin());
    }
}

std::string ticket_table::sign(std::string_view text) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         m_key.data(),
         static_cast<int>(m_key.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         bytes.data(),
         &length);
    return toHex(std::span(bytes).first(length));
}

} // namespace chivelock
