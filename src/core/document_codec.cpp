#include <agateseam/document_codec.hpp>

#include <algorithm>
#include <bit>
#include <memory>

#include <xxhash.h>
#include <zstd.h>

namespace agateseam
{

namespace
{

/// A fast level: a document is compressed while callers' requests wait.
constexpr int compression_level = 1;

struct context_deleter
{
    void operator()(ZSTD_CCtx* context) const noexcept { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx* context) const noexcept { ZSTD_freeDCtx(context); }
};

using compression_context = std::unique_ptr<ZSTD_CCtx, context_deleter>;
using expansion_context = std::unique_ptr<ZSTD_DCtx, context_deleter>;

/// Returns the logarithm of a window that reaches back over the base and the text.
int window_log(std::size_t bytes) noexcept
{
    constexpr int min_window_log = 10;
    constexpr int max_window_log = 27;
    return std::clamp(static_cast<int>(std::bit_width(bytes)), min_window_log,
                      max_window_log);
}

result<std::string> codec_failure(std::string_view step, std::size_t code)
{
    return fail(error_code::invalid, step, "", ZSTD_getErrorName(code));
}

} // namespace

std::uint64_t document_hash(std::string_view document) noexcept
{
    return XXH3_64bits(document.data(), document.size());
}

result<std::string> compress_document(std::string_view text, std::string_view base)
{
    const compression_context context(ZSTD_createCCtx());
    if (!context)
    {
        return fail(error_code::internal, "compress document", "", "no memory");
    }
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                           window_log(text.size() + base.size()));
    if (!base.empty())
    {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(),
                                            text.data(), text.size());
    if (ZSTD_isError(size) != 0)
    {
        return codec_failure("compress document", size);
    }
    bytes.resize(size);
    bytes.shrink_to_fit();
    return bytes;
}

result<std::string> expand_document(std::string_view bytes, std::size_t max_bytes,
                                    std::string_view base)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
        size > max_bytes)
    {
        return fail(error_code::invalid, "expand document", "",
                    "the text's size is not stated or too large");
    }
    const expansion_context context(ZSTD_createDCtx());
    if (!context)
    {
        return fail(error_code::internal, "expand document", "", "no memory");
    }
    if (!base.empty())
    {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string text(size, '\0');
    const std::size_t expanded = ZSTD_decompressDCtx(
        context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(expanded) != 0)
    {
        return codec_failure("expand document", expanded);
    }
    text.resize(expanded);
    return text;
}

} // namespace agateseam
