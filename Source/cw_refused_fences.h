#pragma once

#include "cw_key_table.h"
#include "cw_range_state.h"

#include <cstddef>
#include <vector>

/// Raises the fences of all ranges of the table whose owners refused a grant because they have seen
/// a higher fence; `states` are those of its ranges. Returns the number of ranges.
///
/// A refusal does not tell which fence was seen, so the step grows with each refusal in a row:
/// 1,000,000 fences take 20 writes of the table, and what the owners have seen is exceeded by one
/// step at most.
std::size_t cw_raise_refused_fences(cw_key_table& table, const std::vector<cw_range_state>& states);
