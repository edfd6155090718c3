#include "trefoilhoist/claims/claimwire.h"

namespace Trefoilhoist {

namespace {

struct ReplyWriter {
    Wire::ClaimReply &reply;

    void operator()(const ClaimGranted &granted) const
    {
        reply.state = Wire::ClaimState::ClaimGranted;
        reply.vouched = granted.vouched;
    }
    void operator()(const ClaimRunning & /*running*/) const
    {
        reply.state = Wire::ClaimState::ClaimRunning;
    }
    void operator()(const ClaimFinished &finished) const
    {
        reply.state = Wire::ClaimState::ClaimFinished;
        writeAnswer(*finished.answer, reply);
    }
    void operator()(const ClaimRefused &refused) const
    {
        reply.state = Wire::ClaimState::ClaimRefused;
        reply.reason = refused.reason;
        reply.status = refused.otherRequest ? 1 : 0;
    }
};

ClaimKey keyOf(const std::string &caller, const std::string &service, const std::string &key)
{
    return {CallerId(caller), ServiceId(service), key};
}

} // namespace

Verdict verdictOfNumber(std::int32_t number)
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        if (static_cast<std::int32_t>(verdict) == number) {
            return verdict;
        }
    }
    return Verdict::MayHaveRun;
}

Wire::ClaimRequest claimRequestOf(const ClaimTry &claim)
{
    Wire::ClaimRequest request;
    request.key = claim.key.key;
    request.caller = claim.key.caller.str();
    request.serviceName = claim.key.service.str();
    request.holder = claim.token;
    request.fingerprint = claim.fingerprint;
    request.attempt = claim.attempt;
    return request;
}

ClaimTry claimTryOf(const Wire::ClaimRequest &request)
{
    return {
        keyOf(request.caller, request.serviceName, request.key), request.holder, request.fingerprint, request.attempt};
}

Wire::ClaimReply claimReplyOf(const ClaimAnswer &answer)
{
    Wire::ClaimReply reply;
    std::visit(ReplyWriter{reply}, answer);
    return reply;
}

ClaimAnswer claimAnswerOf(const Wire::ClaimReply &reply)
{
    switch (reply.state) {
    case Wire::ClaimState::ClaimGranted:
        return ClaimGranted{reply.vouched};
    case Wire::ClaimState::ClaimRunning:
        return ClaimRunning{};
    case Wire::ClaimState::ClaimFinished:
        return ClaimFinished{std::make_shared<const ClaimedAnswer>(readAnswer(reply))};
    case Wire::ClaimState::ClaimRefused:
        return ClaimRefused{reply.reason, reply.status == 1};
    }
    return ClaimRefused{"unknown state of a claim", false};
}

Wire::ClaimFinish claimFinishOf(const ClaimEnd &end)
{
    Wire::ClaimFinish finish;
    finish.key = end.claim.key.key;
    finish.caller = end.claim.key.caller.str();
    finish.serviceName = end.claim.key.service.str();
    finish.holder = end.claim.token;
    finish.fingerprint = end.claim.fingerprint;
    finish.attempt = end.claim.attempt;
    finish.proven = end.proven;
    finish.verdict = static_cast<std::int32_t>(end.verdict);
    finish.status = end.response.status;
    finish.headers = headerFieldsOf(end.response.headers);
    finish.body = end.response.body;
    return finish;
}

ClaimEnd claimEndOf(const Wire::ClaimFinish &finish)
{
    ClaimEnd end;
    end.claim
        = {keyOf(finish.caller, finish.serviceName, finish.key), finish.holder, finish.fingerprint, finish.attempt};
    end.proven = finish.proven;
    end.verdict = verdictOfNumber(finish.verdict);
    end.response = {finish.status, headersOf(finish.headers), finish.body};
    return end;
}

ClaimKey claimKeyOf(const Wire::ClaimRecord &record)
{
    return keyOf(record.caller, record.serviceName, record.key);
}

std::vector<Wire::HeaderField> headerFieldsOf(const HttpHeaders &headers)
{
    std::vector<Wire::HeaderField> fields;
    for (const auto &[name, value] : headers.fields()) {
        Wire::HeaderField field;
        field.name = name;
        field.value = value;
        fields.push_back(std::move(field));
    }
    return fields;
}

HttpHeaders headersOf(const std::vector<Wire::HeaderField> &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields) {
        headers.add(field.name, field.value);
    }
    return headers;
}

} // namespace Trefoilhoist
