#include <waxwing/sessions/open_transaction.h>
#include <waxwing/sessions/statement_result.h>

namespace waxwing
{

StatementResult::StatementResult() = default;
StatementResult::~StatementResult() = default;
StatementResult::StatementResult(StatementResult &&) noexcept = default;
StatementResult &StatementResult::operator=(StatementResult &&) noexcept = default;

} // namespace waxwing
