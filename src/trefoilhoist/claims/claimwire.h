#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/claims/claimtable.h"

namespace Trefoilhoist {

[[nodiscard]] Wire::ClaimRequest claimRequestOf(const ClaimTry &claim);
[[nodiscard]] ClaimTry claimTryOf(const Wire::ClaimRequest &request);

[[nodiscard]] Wire::ClaimReply claimReplyOf(const ClaimAnswer &answer);
[[nodiscard]] ClaimAnswer claimAnswerOf(const Wire::ClaimReply &reply);

[[nodiscard]] Wire::ClaimFinish claimFinishOf(const ClaimEnd &end);
[[nodiscard]] ClaimEnd claimEndOf(const Wire::ClaimFinish &finish);

[[nodiscard]] ClaimKey claimKeyOf(const Wire::ClaimRecord &record);

[[nodiscard]] std::vector<Wire::HeaderField> headerFieldsOf(const HttpHeaders &headers);
[[nodiscard]] HttpHeaders headersOf(const std::vector<Wire::HeaderField> &fields);

/// Copies an answer into a message with the fields verdict, status, headers, body and answerDropped.
template <typename Message>
void writeAnswer(const ClaimedAnswer &answer, Message &message)
{
    message.verdict = static_cast<std::int32_t>(answer.verdict);
    message.status = answer.response.status;
    message.headers = headerFieldsOf(answer.response.headers);
    message.body = answer.response.body;
    message.answerDropped = answer.dropped;
}

/// Converts a verdict from the wire. An unknown number becomes MayHaveRun, the verdict that promises least.
[[nodiscard]] Verdict verdictOfNumber(std::int32_t number);

/// Reads an answer from a message that writeAnswer() filled.
template <typename Message>
[[nodiscard]] ClaimedAnswer readAnswer(const Message &message)
{
    ClaimedAnswer answer;
    answer.verdict = verdictOfNumber(message.verdict);
    answer.response.status = message.status;
    answer.response.headers = headersOf(message.headers);
    answer.response.body = message.body;
    answer.dropped = message.answerDropped;
    return answer;
}

} // namespace Trefoilhoist
