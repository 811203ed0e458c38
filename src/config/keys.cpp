#include "endivedock/config/keys.h"

namespace endivedock {

namespace {

constexpr std::string_view templatesPart = "templates/";
constexpr std::string_view tenantsPart = "tenants/";

std::string prefixed(std::string_view rest)
{
    return std::string(declarationPrefix) + std::string(rest);
}

std::string tenantPart(std::string_view tenant)
{
    return std::string(tenantsPart) + std::string(tenant) + "/";
}

} // namespace

std::string templateKey(const TemplateId &id)
{
    return prefixed(std::string(templatesPart) + id.value());
}

std::string parametersKey(const TenantId &tenant)
{
    return prefixed(tenantPart(tenant.value()) + "parameters");
}

std::string zoneKey(const TenantId &tenant, const ZoneId &zone)
{
    return prefixed(tenantPart(tenant.value()) + "zones/" + zone.value());
}

std::string moveKey(const ServiceId &service)
{
    const std::size_t slash = service.value().find('/');
    return prefixed(tenantPart(service.value().substr(0, slash)) + "moves/" +
                    service.value().substr(slash + 1));
}

std::optional<DeclarationKey> parseDeclarationKey(std::string_view key)
{
    if (!key.starts_with(declarationPrefix))
        return std::nullopt;
    key.remove_prefix(declarationPrefix.size());
    if (key.starts_with(templatesPart))
        return DeclarationKey{DeclarationKind::Template,
                              std::string(key.substr(templatesPart.size())), ""};
    if (!key.starts_with(tenantsPart))
        return std::nullopt;
    key.remove_prefix(tenantsPart.size());
    const std::size_t slash = key.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const std::string tenant(key.substr(0, slash));
    key.remove_prefix(slash + 1);
    if (key == "parameters")
        return DeclarationKey{DeclarationKind::Parameters, tenant, ""};
    if (key.starts_with("zones/"))
        return DeclarationKey{DeclarationKind::Zone, tenant, std::string(key.substr(6))};
    if (key.starts_with("moves/"))
        return DeclarationKey{DeclarationKind::Move, tenant, std::string(key.substr(6))};
    return std::nullopt;
}

} // namespace endivedock
